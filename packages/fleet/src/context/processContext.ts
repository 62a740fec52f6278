/** What every service of a process works with. */
import { type Clock, type Metrics, type Millis, type Service, type ServiceKey, serviceKey, type TimeLine } from '@fuchsiaworks/kernel'
import type { StringHash } from '@fuchsiaworks/policy'
import type { ProcessSettings } from '@fuchsiaworks/settings'
import type { Identity } from '@fuchsiaworks/wire'

/** Settings, time, randomness and records of one process. */
export interface ProcessContext extends Service {
  readonly settings: ProcessSettings
  readonly clock: Clock
  /** Monotonic milliseconds of the start. */
  readonly startedAt: Millis
  /** Uniform random numbers from 0 up to 1. */
  readonly random: () => number
  /** The hash by which every process of the fleet chooses homes and links. */
  readonly hash: StringHash
  readonly identity: Identity
  readonly timeLine: TimeLine
  readonly metrics: Metrics
}

/** Key of the process context. */
export const contextKey: ServiceKey<ProcessContext> = serviceKey('context')

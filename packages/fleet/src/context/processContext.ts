/** Settings, clock, identity and records that all services of a process share. */
import { type Clock, type Metrics, type Millis, type Service, type ServiceKey, serviceKey, type TimeLine } from '@fuchsiaworks/kernel'
import type { StringHash } from '@fuchsiaworks/policy'
import type { ProcessSettings } from '@fuchsiaworks/settings'
import type { Identity } from '@fuchsiaworks/wire'

/** Shared context of the services of one process. */
export interface ProcessContext extends Service {
  readonly settings: ProcessSettings
  readonly clock: Clock
  /** Monotonic time of the start in milliseconds. */
  readonly startedAt: Millis
  /** @returns uniform random numbers in [0, 1) */
  readonly random: () => number
  /** Hash by which links and the owners (homes) of idempotency keys are chosen; the same in every process of the fleet. */
  readonly hash: StringHash
  readonly identity: Identity
  readonly timeLine: TimeLine
  readonly metrics: Metrics
}

/** Service key of the process context. */
export const contextKey: ServiceKey<ProcessContext> = serviceKey('context')

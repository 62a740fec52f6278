/** Loads that upstreams report of themselves. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'

/** Load that an upstream reports in a response. */
export interface InstanceLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes at the machine at this moment, in percent of the usual; undefined from upstreams that do not tell. */
  readonly workPercent?: number | undefined
}

/** Why a header with a load cannot be read. */
export type InstanceLoadProblem = 'too-long' | 'repeated' | 'short' | 'malformed' | 'negative' | 'huge'

/** Why a report is ignored: `ended-process` if it is of a process that the list no longer names, `other-process` if it is not of the upstream that the request was sent to. */
export type InstanceLoadRejection = InstanceLoadProblem | 'ended-process' | 'other-process'

/** Process of an upstream. */
export interface InstanceProcess {
  readonly id: UpstreamId
  /** Start of the process as its entry names it; undefined when it names none. */
  readonly startedAt: number | undefined
}

/** Momentary slowness of an upstream as sent to peer gateways. */
export interface SlownessReport {
  readonly upstream: InstanceProcess
  readonly workPercent: number
  readonly ageMs: Millis
}

/** Expected duration of work at an upstream, relative to that of one unit (a prompt token, or a plain request). */
export interface WorkEstimate {
  /** Milliseconds for a unit of work now. */
  readonly unitMs: Millis
  /** Momentary slowness that is part of it; 1 as usual. */
  readonly slowness: number
}

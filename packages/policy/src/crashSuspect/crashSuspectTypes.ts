/** Types of the tracking of crash-causing requests. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'

/** Fingerprint of a request: hash of its workspace and content, the same at all gateways and for each attempt. */
export type RequestHash = number

/** One process of an upstream; the next one may have the same id. */
export interface UpstreamProcess {
  readonly id: UpstreamId
  /** Start of the process in Unix milliseconds; undefined when its entry has none. */
  readonly startedAt: number | undefined
}

/** Report of a gateway that an upstream crashed while it ran a request. */
export interface CrashReport {
  readonly fingerprint: RequestHash
  /** Identifies the crash, the same at all gateways, so that a duplicate report is not counted. */
  readonly crash: string
}

/** Crash of an upstream as one gateway has recognized it. */
export interface RecognizedCrash {
  /** Broken connections that count as the crash. */
  readonly brokenConnections: number
  /** Connections that broke too long before to count. */
  readonly ignoredConnections: number
  /** Time since the first of these connections broke. */
  readonly ageMs: Millis
}

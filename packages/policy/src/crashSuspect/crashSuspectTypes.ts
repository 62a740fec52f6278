/** Types of the tracking of crash-causing requests. */

/** Fingerprint of a request: hash of its workspace and content, the same at all gateways and for each attempt. */
export type RequestHash = number

/** Report of a gateway that an upstream crashed while it ran a request. */
export interface CrashReport {
  readonly fingerprint: RequestHash
  /** Identifies the crash, so that a duplicate report is not counted. */
  readonly crash: string
}

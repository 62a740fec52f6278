/** Requests that end the upstreams that run them. */

/** Names a request by what it asks and for whom; the same at all routers and for each try. */
export type RequestHash = number

/** Word of a router that an upstream ended while it ran a request. */
export interface CrashReport {
  readonly fingerprint: RequestHash
  /** Names this end of the upstream, so that a report that comes twice counts once. */
  readonly crash: string
}

/** Events and commands about requests whose running ends their upstream. */
import type { Fingerprint, Millis, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Bounds of what a router remembers about such requests. */
export interface QuarantineConfig {
  /** Crashes from which a request is refused, the last of them with the request running alone. */
  readonly crashes: number
  /** Milliseconds for which a request stays suspect after a crash. */
  readonly suspectMs: Millis
  /** Milliseconds for which a request is refused. */
  readonly refuseMs: Millis
  /** Suspects, and refused requests, that are remembered for one workspace. */
  readonly maxPerWorkspace: number
}

/** A request as its workspace sends it; two identical requests share it. */
export interface RequestFingerprint {
  readonly workspace: WorkspaceId
  readonly fingerprint: Fingerprint
}

/** A request that is refused. */
export interface RefusedRequest extends RequestFingerprint {
  /** Milliseconds for which it is still refused. */
  readonly remainingMs: Millis
}

/** What a router sees. `now` is monotonic milliseconds. */
export type QuarantineEvent =
  RequestFingerprint & {
    /** A request is to be queued, for the first time or again. */
    readonly kind: 'request-arrived'
    readonly now: Millis
  } |
  RequestFingerprint & {
    /** An upstream ended while it ran the request. */
    readonly kind: 'crash-reported'
    readonly now: Millis
    readonly upstream: UpstreamId
    /** Names this end of the upstream, so that a report that comes twice counts once. */
    readonly crash: string
    /** True when the upstream ran nothing else. */
    readonly alone: boolean
    /** Who says so: the agent beside the upstream, or another router. */
    readonly from: 'agent' | 'router'
  } |
  RequestFingerprint & {
    /** The request ran to its end and the upstream lives. */
    readonly kind: 'request-completed'
    readonly now: Millis
  } |
  RequestFingerprint & {
    /** Another router refuses the request. */
    readonly kind: 'quarantine-received'
    readonly now: Millis
    readonly remaining: Millis
  } |
  { readonly kind: 'tick', readonly now: Millis }

/** What the router does. */
export type QuarantineCommand =
  { readonly kind: 'admit' } |
  {
    /** Queue the request for an upstream that runs nothing else meanwhile. */
    readonly kind: 'isolate'
  } |
  {
    /** Refuse this arrival as not run. */
    readonly kind: 'refuse'
    readonly remaining: Millis
  } |
  RequestFingerprint & {
    /** Tell the other routers of a crash. */
    readonly kind: 'broadcast-crash'
    readonly upstream: UpstreamId
    readonly crash: string
    readonly alone: boolean
  } |
  RequestFingerprint & {
    /** Tell the other routers that the request is refused. */
    readonly kind: 'broadcast-quarantine'
    readonly remaining: Millis
  }

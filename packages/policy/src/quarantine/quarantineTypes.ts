/** Configuration, events and commands of the quarantine of crash-causing requests. */
import type { Fingerprint, Millis, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Configuration of the quarantine. */
export interface QuarantineConfig {
  /** Crashes after which a request is refused, at least one of them with no other request running. */
  readonly crashes: number
  /** Milliseconds for which a request remains a suspect after a crash. */
  readonly suspectMs: Millis
  /** Milliseconds for which a request is refused. */
  readonly refuseMs: Millis
  /** Maximum number of suspects, and of refused requests, in one workspace. */
  readonly maxPerWorkspace: number
}

/** Identifies a request by workspace and fingerprint; identical requests of a workspace share it. */
export interface RequestFingerprint {
  readonly workspace: WorkspaceId
  readonly fingerprint: Fingerprint
}

/** A request that is refused. */
export interface RefusedRequest extends RequestFingerprint {
  /** Milliseconds for which it is still refused. */
  readonly remainingMs: Millis
}

/** Events at a router. `now` is monotonic milliseconds. */
export type QuarantineEvent =
  RequestFingerprint & {
    /** A request is about to be queued, for the first time or again. */
    readonly kind: 'request-arrived'
    readonly now: Millis
  } |
  RequestFingerprint & {
    /** An upstream crashed while it ran the request. */
    readonly kind: 'crash-reported'
    readonly now: Millis
    readonly upstream: UpstreamId
    /** Identifies the crash, so that a duplicate report is not counted. */
    readonly crash: string
    /** True when the upstream ran no other request. */
    readonly alone: boolean
    /** Sender of the report: the agent of the upstream, or another router. */
    readonly from: 'agent' | 'router'
  } |
  RequestFingerprint & {
    /** The request completed and its upstream did not crash. */
    readonly kind: 'request-completed'
    readonly now: Millis
  } |
  RequestFingerprint & {
    /** Another router refuses the request. */
    readonly kind: 'quarantine-received'
    readonly now: Millis
    /** Milliseconds for which the other router still refuses it. */
    readonly remaining: Millis
  } |
  { readonly kind: 'tick', readonly now: Millis }

/** Commands for the router. */
export type QuarantineCommand =
  { readonly kind: 'admit' } |
  {
    /** Queue the request, to be run with no other request at its upstream. */
    readonly kind: 'isolate'
  } |
  {
    /** Refuse the request; it has not run. */
    readonly kind: 'refuse'
    /** Milliseconds for which it is still refused. */
    readonly remaining: Millis
  } |
  RequestFingerprint & {
    /** Report a crash to the other routers. */
    readonly kind: 'broadcast-crash'
    readonly upstream: UpstreamId
    readonly crash: string
    readonly alone: boolean
  } |
  RequestFingerprint & {
    /** Notify the other routers that the request is refused. */
    readonly kind: 'broadcast-quarantine'
    readonly remaining: Millis
  }

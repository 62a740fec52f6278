/** Events and commands of the idempotency keys that an agent is the home of. */
import type { Fingerprint, Millis, RequestId, ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { FailureOutcome } from '../retry/retryTypes.js'

/** Bounds of what a home remembers. */
export interface KeysConfig {
  /** Milliseconds for which a key is remembered; callers must not send an opaque key again later than this. */
  readonly window: Millis
  /** Milliseconds by which a key's time may lie ahead of this host's wall clock. */
  readonly callerSkew: Millis
  /** Largest difference between the wall clocks of two of the fleet's hosts, in milliseconds. */
  readonly hostSkew: Millis
  /** Milliseconds within which a configuration is in force everywhere. */
  readonly configPropagation: Millis
  /** Milliseconds after an opaque key was presented within which the word of a previous home counts for it. */
  readonly queryResultTtl: Millis
  /** Keys remembered for one workspace. */
  readonly maxKeys: number
  /** Bytes of one answer above which only its outcome is remembered. */
  readonly maxResponseBytes: number
  /** Bytes of all answers together. */
  readonly maxStoreBytes: number
  /** Requests that may wait for the first run of one key. */
  readonly maxWaiters: number
}

/** An answer that is given again. */
export interface StoredResponse {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>
  readonly body: Uint8Array
}

/** A key within its service and workspace. */
export interface ScopedKey {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly key: string
}

/** A home that a key had before a revision moved it. */
export interface FormerHome {
  readonly upstream: UpstreamId
  /** Revision that moved the key away from there. */
  readonly revision: number
}

/** What a previous home of a key knows of it. */
export type KeyQueryResult =
  /** It did not run there or before, and from now on never will there unless the home moves back. */
  { readonly kind: 'never' } |
  /** It did not run there and will not, but may have run at the home before. */
  { readonly kind: 'earlier', readonly home: FormerHome } |
  { readonly kind: 'running' } |
  /** One of the two homes has not heard of the newest revision, so that nothing can be promised yet. */
  { readonly kind: 'behind' } |
  /** It ran to its end; the answer is absent when it is no longer kept. */
  { readonly kind: 'ended', readonly answer: StoredResponse | undefined } |
  /** It was used for another request. */
  { readonly kind: 'conflict' } |
  { readonly kind: 'unknown' }

/** A question to the previous home of a key. */
export interface KeyQuery extends ScopedKey {
  readonly fingerprint: Fingerprint
  /** Revision that moved the key. */
  readonly revision: number
}

/** What happens at a home. `now` is monotonic, `wall` is wall-clock time, both in milliseconds. */
export type KeysEvent =
  {
    /** A revision that lists these upstreams for the service came in force here. */
    readonly kind: 'upstreams-listed'
    readonly now: Millis
    readonly wall: Millis
    readonly service: ServiceId
    readonly upstreams: readonly UpstreamId[]
    /** Revision of the configuration. */
    readonly revision: number
  } |
  ScopedKey & {
    readonly kind: 'key-presented'
    readonly now: Millis
    readonly wall: Millis
    readonly request: RequestId
    readonly fingerprint: Fingerprint
  } |
  ScopedKey & { readonly kind: 'run-started', readonly now: Millis } |
  ScopedKey & { readonly kind: 'response-recorded', readonly now: Millis, readonly answer: StoredResponse } |
  ScopedKey & { readonly kind: 'run-failed', readonly now: Millis, readonly outcome: FailureOutcome } |
  ScopedKey & { readonly kind: 'waiter-gone', readonly request: RequestId } |
  /** The previous home answered a question, or nobody did in time: then the fate is unknown. */
  ScopedKey & { readonly kind: 'key-told', readonly now: Millis, readonly wall: Millis, readonly ask: number, readonly queryResult: KeyQueryResult } |
  { readonly kind: 'tick', readonly now: Millis }

/** Why a keyed request is refused; it was not run and stays not run. */
export type KeyRefusal = 'not-home' | 'key-from-future' | 'too-many-waiters' | 'too-many-keys'

/** What the agent does with a request. */
export type KeysCommand =
  { readonly kind: 'run', readonly request: RequestId } |
  { readonly kind: 'replay', readonly request: RequestId, readonly answer: StoredResponse } |
  {
    /** The first request of the key still runs; commands for this one follow when it ends. */
    readonly kind: 'wait'
    readonly request: RequestId
    readonly first: RequestId
  } |
  {
    /** The previous home of the key is to be asked; the request waits for what it tells. */
    readonly kind: 'ask'
    readonly request: RequestId
    /** Rising number within the life of this home. */
    readonly ask: number
    readonly upstream: UpstreamId
    readonly query: KeyQuery
  } |
  { readonly kind: 'answer-unknown', readonly request: RequestId } |
  {
    /** The key ran to its end, but its answer is no longer kept. */
    readonly kind: 'response-not-stored'
    readonly request: RequestId
  } |
  {
    /** The key was used for another request (status 422). */
    readonly kind: 'conflict'
    readonly request: RequestId
  } |
  { readonly kind: 'refuse', readonly request: RequestId, readonly reason: KeyRefusal }

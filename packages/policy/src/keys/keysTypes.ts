/**
 * Events and commands of idempotency keys. The home of a key is the one upstream that may run requests with it (its owner).
 * A key is either a version 7 UUID, whose timestamp shows when it was created, or opaque.
 */
import type { Fingerprint, Millis, RequestId, ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { FailureOutcome } from '../retry/retryTypes.js'

/** Limits and time allowances of the keys of a home. */
export interface KeysConfig {
  /** Retention of a key in milliseconds; callers must not send an opaque key again after this time. */
  readonly window: Millis
  /** Milliseconds by which the timestamp in a key may be ahead of this host's wall clock. */
  readonly callerSkew: Millis
  /** Largest difference between the wall clocks of two hosts of the fleet, in milliseconds. */
  readonly hostSkew: Millis
  /** Milliseconds within which a configuration has been applied by every process. */
  readonly configPropagation: Millis
  /** Milliseconds after the presentation of an opaque key within which an answer of its previous home is valid. */
  readonly queryResultTtl: Millis
  /** Limit of entries per workspace. */
  readonly maxKeys: number
  /** Largest response that is stored, in bytes; of larger ones only the outcome is retained. */
  readonly maxResponseBytes: number
  /** Limit of all stored responses together, in bytes. */
  readonly maxStoreBytes: number
  /** Limit of requests that wait for the first run of one key. */
  readonly maxWaiters: number
}

/** A stored response for replay to later requests with the same key. */
export interface StoredResponse {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>
  readonly body: Uint8Array
}

/** An idempotency key, unique within its service and workspace. */
export interface ScopedKey {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly key: string
}

/** A previous home of a key. */
export interface PreviousHome {
  readonly upstream: UpstreamId
  /** Revision that moved the key away from this upstream. */
  readonly revision: number
}

/** Answer of a previous home to a query about a key. */
export type KeyQueryResult =
  /** The key did not run at this home or any before, and will not run here unless the home moves back. */
  { readonly kind: 'never' } |
  /** The key did not run at this home and will not, but may have run at the home before. */
  { readonly kind: 'earlier', readonly home: PreviousHome } |
  { readonly kind: 'running' } |
  /** One of the two homes has not applied the newest revision yet; the query has to be repeated. */
  { readonly kind: 'behind' } |
  /** The key ran to its end; `answer` is undefined when the response is no longer stored. */
  { readonly kind: 'ended', readonly answer: StoredResponse | undefined } |
  /** The key was used for a different request (its fingerprint differs). */
  { readonly kind: 'conflict' } |
  /** The key may have run. */
  { readonly kind: 'unknown' }

/** Query to the previous home of a key. */
export interface KeyQuery extends ScopedKey {
  readonly fingerprint: Fingerprint
  /** Revision that moved the key. */
  readonly revision: number
}

/** Events at a home. `now` is monotonic, `wall` is wall-clock time, both in milliseconds. */
export type KeysEvent =
  {
    /** A revision that lists these upstreams for the service was applied here. */
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
  /** The previous home answered query `ask`, or did not in time; the result is then `unknown`. */
  ScopedKey & { readonly kind: 'key-told', readonly now: Millis, readonly wall: Millis, readonly ask: number, readonly queryResult: KeyQueryResult } |
  { readonly kind: 'tick', readonly now: Millis }

/** Reason for the refusal of a request with a key. The request has not run and will not. */
export type KeyRefusal = 'not-home' | 'key-from-future' | 'too-many-waiters' | 'too-many-keys'

/** Commands to the agent for a request. */
export type KeysCommand =
  { readonly kind: 'run', readonly request: RequestId } |
  { readonly kind: 'replay', readonly request: RequestId, readonly answer: StoredResponse } |
  {
    /** The first request with the key still runs; further commands for this one follow when it ends. */
    readonly kind: 'wait'
    readonly request: RequestId
    readonly first: RequestId
  } |
  {
    /** Send a query to the previous home of the key; the request waits for the answer. */
    readonly kind: 'ask'
    readonly request: RequestId
    /** Number of the query, increasing until this process restarts. */
    readonly ask: number
    readonly upstream: UpstreamId
    readonly query: KeyQuery
  } |
  /** Respond that the key may have run. */
  { readonly kind: 'answer-unknown', readonly request: RequestId } |
  {
    /** The key ran to its end, but its response is not stored or no longer stored. */
    readonly kind: 'response-not-stored'
    readonly request: RequestId
  } |
  {
    /** The key was used for a different request (status 422). */
    readonly kind: 'conflict'
    readonly request: RequestId
  } |
  { readonly kind: 'refuse', readonly request: RequestId, readonly reason: KeyRefusal }

/** What a soak has seen: requests as callers saw them, arrivals as upstreams saw them, and what was done to the system. */
import type { Millis } from '@fuchsiaworks/kernel'

/**
 * Kinds of requests. `safe`: may be repeated. `once`: may run once at most. `stream`: may be continued after its last event.
 * `probe`: asks whether a route exists that only one revision has.
 */
export type RequestKind = 'safe' | 'once' | 'stream' | 'probe'

/** One life of a gateway's process. */
export interface GatewayIncarnation {
  readonly gateway: number
  readonly incarnation: number
}

/** How a request ended for its caller. */
export type RequestEnd =
  | {
    readonly kind: 'response'
    readonly at: Millis
    readonly status: number
    /** Seal of the upstream; undefined when the answer has none. */
    readonly seal: string | undefined
    readonly body: string
    readonly retryAfter: string | undefined
  }
  /** The connection ended before the answer was whole; `body` is what had come. */
  | { readonly kind: 'broken', readonly at: Millis, readonly status: number | undefined, readonly body: string, readonly reason: string }
  /** The caller had enough and closed its connection. */
  | { readonly kind: 'left', readonly at: Millis }

/** One request of one caller. */
export interface SentRequest extends GatewayIncarnation {
  readonly attempt: string
  readonly kind: RequestKind
  readonly path: string
  readonly body: string
  /** Key that was sent, and the workspace that holds it; undefined on public routes. */
  readonly key: string | undefined
  readonly workspace: string | undefined
  readonly sentAt: Millis
  readonly timeoutMs: Millis
  /** Revision whose route is asked for by a probe. */
  readonly revision: number | undefined
  end: RequestEnd | undefined
}

/** A request that reached an upstream. */
export interface Arrival {
  readonly attempt: string
  readonly upstream: string
  readonly service: string
  readonly zone: string
  readonly at: Millis
  readonly path: string
  readonly body: string
  readonly workspace: string | undefined
  readonly hasApiKey: boolean
  /** Last event that the request says its caller has. */
  readonly lastEventId: number
  /** False when the upstream declined and said so. */
  readonly ran: boolean
  /** Milliseconds of work that the request would take. */
  readonly workMs: Millis
  endedAt: Millis | undefined
  /** `failed`: the upstream crashed, fell silent or spoilt the answer. */
  end: 'complete' | 'cancelled' | 'failed' | undefined
}

/** Something that was done to a part of the system. */
export interface Disturbance {
  /** `gateway 2`, `store`, `store-link 1`, `peer-link 0`, `upstream x`, `upstream-link x`. */
  readonly component: string
  readonly from: Millis
  /** Undefined while it holds. */
  to: Millis | undefined
  /** True for what operators do on purpose: stop, reload. */
  readonly isPlanned: boolean
}

/** A configuration that the store has acknowledged. */
export interface Publication {
  readonly revision: number
  readonly at: Millis
}

/** Span in which something is not to be used. */
export interface NamedSpan {
  readonly name: string
  readonly from: Millis
  readonly to: Millis | undefined
}

/** Everything that the checks read. */
export interface Observations {
  readonly requests: SentRequest[]
  readonly arrivals: Arrival[]
  readonly disturbances: Disturbance[]
  readonly publications: Publication[]
  /** Keys that were taken away. */
  readonly revokedKeys: Array<{ readonly key: string, readonly at: Millis }>
  readonly excludedZones: NamedSpan[]
  /** Upstreams that have said that they leave, or are gone. */
  readonly leaving: NamedSpan[]
  /** Upstreams in cold start. */
  readonly cold: NamedSpan[]
  /** Time from which no fault holds; undefined before. */
  faultFreeFrom: Millis | undefined
}

/** A broken promise. */
export interface Violation {
  readonly invariant: string
  readonly description: string
  /** Attempts whose lines explain it. */
  readonly attempts: readonly string[]
}

/** A check of one promise; it reads the observations only. */
export interface InvariantCheck {
  readonly invariant: string
  readonly find: (observations: Observations, now: Millis) => Violation | undefined
}

/** @returns an empty observations */
export const emptyObservations = (): Observations => ({
  requests: [], arrivals: [], disturbances: [], publications: [], revokedKeys: [], excludedZones: [], leaving: [], cold: [], faultFreeFrom: undefined
})

/** What a soak has seen: requests as callers saw them, arrivals as upstreams saw them, and what was done to the system. */
import type { Millis } from '@fuchsiaworks/kernel'

/**
 * Kinds of requests. `safe`: may be repeated. `once`: may run once at most. `stream`: may be continued after its last event.
 * `probe`: asks whether a route exists that only one revision has.
 */
export type RequestKind = 'safe' | 'once' | 'stream' | 'probe'

/** One life of a gateway's process. */
export interface GatewayLife {
  readonly gateway: number
  readonly life: number
}

/** How a request ended for its caller. */
export type RequestEnd =
  | {
    readonly kind: 'answer'
    readonly at: Millis
    readonly status: number
    /** Seal of the upstream; undefined when the answer has none. */
    readonly seal: string | undefined
    readonly body: string
    readonly returnAfter: string | undefined
  }
  /** The connection ended before the answer was whole; `body` is what had come. */
  | { readonly kind: 'broken', readonly at: Millis, readonly status: number | undefined, readonly body: string, readonly reason: string }
  /** The caller had enough and closed its connection. */
  | { readonly kind: 'left', readonly at: Millis }

/** One request of one caller. */
export interface SentRequest extends GatewayLife {
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
  readonly hasKey: boolean
  /** Last event that the request says its caller has. */
  readonly resumeAfter: number
  /** False when the upstream declined and said so. */
  readonly ran: boolean
  /** Milliseconds of work that the request would take. */
  readonly workMs: Millis
  endedAt: Millis | undefined
  /** `failed`: the upstream crashed, fell silent or spoilt the answer. */
  end: 'whole' | 'cancelled' | 'failed' | undefined
}

/** Something that was done to a part of the system. */
export interface Disturbance {
  /** `gateway 2`, `store`, `store-link 1`, `peer-link 0`, `upstream x`, `upstream-link x`. */
  readonly subject: string
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
export interface ClosedSpan {
  readonly name: string
  readonly from: Millis
  readonly to: Millis | undefined
}

/** Everything that the checks read. */
export interface Ledger {
  readonly requests: SentRequest[]
  readonly arrivals: Arrival[]
  readonly disturbances: Disturbance[]
  readonly publications: Publication[]
  /** Keys that were taken away. */
  readonly takenKeys: Array<{ readonly key: string, readonly at: Millis }>
  readonly closedZones: ClosedSpan[]
  /** Upstreams that have said that they leave, or are gone. */
  readonly leaving: ClosedSpan[]
  /** Upstreams in cold start. */
  readonly cold: ClosedSpan[]
  /** Time from which no fault holds; undefined before. */
  calmFrom: Millis | undefined
}

/** A broken promise. */
export interface BrokenPromise {
  readonly promise: string
  readonly what: string
  /** Attempts whose lines explain it. */
  readonly attempts: readonly string[]
}

/** A check of one promise; it reads the ledger only. */
export interface PromiseCheck {
  readonly promise: string
  readonly find: (ledger: Ledger, now: Millis) => BrokenPromise | undefined
}

/** @returns an empty ledger */
export const emptyLedger = (): Ledger => ({
  requests: [], arrivals: [], disturbances: [], publications: [], takenKeys: [], closedZones: [], leaving: [], cold: [], calmFrom: undefined
})

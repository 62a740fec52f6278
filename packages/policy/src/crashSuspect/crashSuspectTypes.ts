/** Types of the tracking of what crashes upstreams. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import type { PartHash } from '../placement/placementTypes.js'

/** Fingerprint of a request: hash of its workspace and content, the same at all gateways and for each attempt. */
export type RequestHash = number

/** What a request may have in common with others that crash upstreams. */
export interface RequestTraits {
  readonly fingerprint: RequestHash
  /** Parts of its prompt that other requests may share. */
  readonly parts: readonly PartHash[]
}

/** A request's fingerprint or one part of its prompt. */
export type Trait = RequestHash | PartHash

/** One process of an upstream; the next one may have the same id. */
export interface UpstreamProcess {
  readonly id: UpstreamId
  /** Start of the process in Unix milliseconds; undefined when its entry has none. */
  readonly startedAt: number | undefined
}

/** Report of a gateway that connections to an upstream broke, or that it accepts none. */
export interface CrashReport {
  /** Identifies the crash, the same at all gateways, so that a duplicate report is not counted. */
  readonly crash: string
  /** Time since the first connection broke. */
  readonly ageMs: Millis
  /** False when no connection of the reporting gateway had broken: then the upstream may only be out of its reach. */
  readonly isConfirmed: boolean
  /** Requests to which the upstream had not begun to respond, or only just. */
  readonly candidates: readonly RequestTraits[]
}

/** Report of a gateway that an upstream began to respond to a request and did not crash. */
export interface SoundReport {
  readonly trait: Trait
  /** Time since the response began. */
  readonly ageMs: Millis
}

/** Reports that gateways exchange. */
export interface CrashReports {
  readonly crashes: readonly CrashReport[]
  readonly sound: readonly SoundReport[]
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

/** A crash with the requests that may have caused it. */
export interface CrashRecord {
  /** Monotonic time in milliseconds at which the first connection broke. */
  at: Millis
  readonly candidates: Map<RequestHash, RequestTraits>
}

/** What is known against a request, or a part of prompts. */
export interface Accusation {
  readonly kind: 'request' | 'part'
  /** Separate crashes. */
  readonly crashes: number
  /** Monotonic times in milliseconds. */
  readonly firstCrashAt: Millis
  readonly lastCrashAt: Millis
}

/** Whether a request may be sent. `trial`: it tests whether a suspected part still crashes upstreams. */
export type CrashDecision =
  | { readonly kind: 'allow' }
  | { readonly kind: 'trial' }
  | { readonly kind: 'refuse', readonly retryAfterMs: Millis }

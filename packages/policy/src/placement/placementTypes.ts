/** Facts, requests and results of placing requests on upstreams. */
import type { Id, Millis, ServiceId, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'

/** One shared or own part of a prompt. */
export interface PromptPart {
  /** Name of the part; equal names mean equal text. */
  readonly id: string
  readonly tokens: number
}

/** Short name of a part, the same at all routers. */
export type PartHash = number

/** Names one run of a request at an upstream, inside one process. */
export type RunId = Id<'run'>

/** Names another router of the fleet: one life of one process. */
export type PeerId = Id<'peer'>

/** An upstream that may be chosen. */
export interface PlacementUpstream {
  readonly id: UpstreamId
  readonly service: ServiceId
  readonly zone: ZoneId
  /** Requests that it runs at once. */
  readonly slots: number
  /** Tokens that fit in its memory; undefined for plain services. */
  readonly kvCapacityTokens: number | undefined
  /** Milliseconds in which it copies a thousand tokens from another upstream of its service; undefined when it cannot. */
  readonly copyMsPerThousandTokens?: Millis | undefined
}

/** What one router has open at one upstream. */
export interface UpstreamLoad {
  /** Requests sent and not ended. */
  readonly open: number
  /** Prompt tokens of requests that have not produced their first event. */
  readonly waitingTokens: number
  /** Prompt and output tokens that the open requests occupy or will occupy. */
  readonly reservedTokens: number
}

/** A prompt part that a router has sent to an upstream. */
export interface PartUse {
  readonly part: PartHash
  readonly upstream: UpstreamId
}

/** What placing needs to know of a request. */
export interface PlacementRequest {
  readonly service: ServiceId
  /** Zone of the router that asks. */
  readonly zone: ZoneId
  /** Parts of the prompt that other requests may share, in order. */
  readonly sharedParts: readonly PromptPart[]
  /** Tokens of the part that belongs to this request alone. */
  readonly unsharedTokens: number
  readonly maxOutputTokens: number
  /**
   * Milliseconds against which the queue of an upstream is judged: the shortest target of the service, so that requests
   * with a longer one do not fill the queue beyond what the others bear.
   */
  readonly latencyTargetMs: Millis
  /** Upstreams that have been tried. */
  readonly tried: ReadonlySet<UpstreamId>
}

/** The best upstream for a request. */
export interface Placement {
  readonly upstream: UpstreamId
  /** Predicted milliseconds to the first event. */
  readonly expectedMs: Millis
  /** Prompt tokens that the upstream is expected to read. */
  readonly readTokens: number
  /** Those of them that another upstream keeps. */
  readonly rereadTokens: number
  /** Prompt tokens that are to be copied from another upstream in place of being read. */
  readonly copiedTokens: number
  /** The upstream from which they are to be copied. */
  readonly copyFrom: UpstreamId | undefined
  /** How full the upstream would be: 1 means that the target would just be met, or that no slot would be left. */
  readonly pressure: number
}

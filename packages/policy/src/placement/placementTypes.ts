/** Inputs and results of the placement of requests on upstreams. */
import type { Id, Millis, ServiceId, UpstreamId, ZoneId } from '@fuchsiaworks/kernel'
import type { VersionHash } from '../streamVersion/streamVersionTypes.js'
import type { SpillDecision, ZoneTraffic } from '../zoneSpill/zoneSpillTypes.js'

/** Part of a prompt. */
export interface PromptPart {
  /** Identifier of the text: equal identifiers mean equal text. */
  readonly id: string
  readonly tokens: number
}

/** Hash of the identifier of a part, the same at all gateways. */
export type PartHash = number

/** Identifies one run of a request at an upstream, within one process. */
export type RunId = Id<'run'>

/** Identifies a gateway process of the fleet; a restarted process has another identifier. */
export type PeerId = Id<'peer'>

/** An upstream that may be chosen. */
export interface PlacementUpstream {
  readonly id: UpstreamId
  readonly service: ServiceId
  readonly zone: ZoneId
  /** Maximum number of concurrent requests. */
  readonly slots: number
  /** Start of its process; undefined when its entry names none. */
  readonly startedAt?: number | undefined
  /** Tokens that fit into the memory of an engine; undefined for plain services. */
  readonly kvCapacityTokens: number | undefined
  /** Milliseconds to copy a thousand cached tokens from another upstream of the service; undefined when copying is not supported. */
  readonly copyMsPerThousandTokens?: Millis | undefined
  /** Software version; undefined when no upstream of the service declares one. */
  readonly version?: VersionHash | undefined
}

/** Load from one gateway at one upstream. */
export interface UpstreamLoad {
  /** Open requests. */
  readonly open: number
  /** Prompt tokens waiting for prefill: those of requests without a first event. */
  readonly waitingTokens: number
  /** Prompt and output tokens for which the open requests occupy or will occupy memory. */
  readonly reservedTokens: number
}

/** A prompt part that a gateway has sent to an upstream. */
export interface PartUse {
  readonly part: PartHash
  readonly upstream: UpstreamId
}

/** A request to place. */
export interface PlacementRequest {
  readonly service: ServiceId
  /** Zone of the gateway. */
  readonly zone: ZoneId
  /** Parts of the prompt that other requests may share, in order. */
  readonly sharedParts: readonly PromptPart[]
  /** Tokens of the part of the prompt that no other request shares. */
  readonly unsharedTokens: number
  readonly maxOutputTokens: number
  /** Tokens that count towards the share of the request's workspace; none when not given. */
  readonly chargedTokens?: number
  /**
   * Target for the milliseconds to the first event. It is the shortest target of the service, so that requests with a
   * longer target do not fill the queue of an upstream beyond what the others allow.
   */
  readonly latencyTargetMs: Millis
  /** Upstreams to which the request has already been sent. */
  readonly tried: ReadonlySet<UpstreamId>
  /** What traffic between zones costs; undefined where it has no price. */
  readonly zoneTraffic?: ZoneTraffic | undefined
}

/** The upstream chosen for a request. */
export interface Placement {
  readonly upstream: UpstreamId
  /** Predicted milliseconds to the first event. */
  readonly expectedMs: Millis
  /** Prompt tokens that the upstream is expected to prefill. */
  readonly readTokens: number
  /** Tokens among `readTokens` that another upstream has cached. */
  readonly rereadTokens: number
  /** Cached prompt tokens to copy from another upstream. */
  readonly copiedTokens: number
  /** Upstream to copy them from. */
  readonly copyFrom: UpstreamId | undefined
  /** Expected utilisation of the upstream: at 1 the target is only just met, or no slot is left. */
  readonly pressure: number
  /** Why the request stays in its zone or leaves it; undefined where traffic between zones has no price. */
  readonly zoneDecision?: SpillDecision | undefined
  /** Part of the upstream's capacity that the requests before this one use: prefill within the target, slots, and memory, that of the request included. */
  readonly load: number
  /** Load of the least loaded upstream that was considered. */
  readonly leastLoad: number
  /** Where to send the request when pressure excludes this upstream: the cheapest one that is not under pressure; undefined when there is none, or it is this one. */
  readonly alternative: Placement | undefined
  /** Momentary slowness of the upstream that was assumed, 1 as usual, by its last report; undefined when it reports none. */
  readonly slowness?: number | undefined
  /** Age of that report; infinite when there is none of its process. */
  readonly reportAgeMs?: Millis | undefined
}

/** Messages between the processes of the fleet. Sessions deliver them in order, each at most once. */
import type {
  Fingerprint, HostId, Incarnation, Millis, RequestId, ServiceId, UpstreamId, WorkspaceId, ZoneId
} from '@fuchsiaworks/kernel'

/** Header names and values in the order received; a name may repeat. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>

/** What an answer without a response from the upstream says about the request. */
export type Outcome = 'not-run' | 'unknown' | 'ran'

/** Whether an agent takes new work, and why not. */
export type AgentState = 'ready' | 'cold' | 'draining' | 'leaving' | 'zone-out' | 'down'

/** Waiting requests of one workspace at one router for one service. */
export interface BacklogEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
  /** Milliseconds that the oldest of them has waited. */
  readonly oldestWait: Millis
  /** Estimated cost of the oldest, in cost units. */
  readonly headCost: number
}

/** The backlog of a router for one service; it replaces what was said before. */
export interface BacklogMessage {
  readonly kind: 'backlog'
  readonly service: ServiceId
  readonly entries: readonly BacklogEntry[]
}

/** An agent has a free slot and asks for one request of a workspace. */
export interface PullMessage {
  readonly kind: 'pull'
  /** Rising number within the agent's incarnation. */
  readonly pull: number
  readonly service: ServiceId
  readonly workspace: WorkspaceId
}

/** The router has nothing for a pull. */
export interface PullEmptyMessage {
  readonly kind: 'pull-empty'
  readonly pull: number
}

/** One request, given to the agent that pulled. The agent must answer accepted or declined. */
export interface HandoverMessage {
  readonly kind: 'handover'
  readonly pull: number
  readonly request: RequestId
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly idempotent: boolean
  /** The caller's Idempotency-Key, if any. */
  readonly key: string | undefined
  readonly fingerprint: Fingerprint
  /** Estimated cost in cost units. */
  readonly estimate: number
  /** First part of the body; the rest follows in request-body messages unless bodyEnded. */
  readonly body: Uint8Array
  readonly bodyEnded: boolean
  /** Number of this attempt, from 1. */
  readonly attempt: number
  /** True for a request that may have ended an upstream: it must run alone. */
  readonly alone: boolean
}

/** The agent has started the request. */
export interface AcceptedMessage {
  readonly kind: 'accepted'
  readonly request: RequestId
}

/** The agent has not started the request and never will. */
export interface DeclinedMessage {
  readonly kind: 'declined'
  readonly request: RequestId
  readonly reason: 'expired' | 'not-accepting' | 'not-home' | 'key-running' | 'key-unknown' | 'quarantined'
}

/** A part of the request body. */
export interface RequestBodyMessage {
  readonly kind: 'request-body'
  readonly request: RequestId
  readonly data: Uint8Array
  readonly ended: boolean
}

/** The caller has gone or the router gave up; the agent cancels the request upstream. */
export interface CancelMessage {
  readonly kind: 'cancel'
  readonly request: RequestId
}

/** The receiver of a body has passed on this many more bytes; the sender may send as many again. */
export interface CreditMessage {
  readonly kind: 'credit'
  readonly request: RequestId
  readonly direction: 'request' | 'response'
  readonly bytes: number
}

/** Status and headers of the upstream's answer. */
export interface ResponseHeadMessage {
  readonly kind: 'response-head'
  readonly request: RequestId
  readonly status: number
  readonly headers: HeaderList
}

/** A part of the answer's body. */
export interface ResponseBodyMessage {
  readonly kind: 'response-body'
  readonly request: RequestId
  readonly data: Uint8Array
}

/** The answer is whole. */
export interface ResponseEndMessage {
  readonly kind: 'response-end'
  readonly request: RequestId
  readonly trailers: HeaderList
  /** Final cost in cost units. */
  readonly cost: number
}

/** The upstream gave no whole answer. */
export interface ResponseFailedMessage {
  readonly kind: 'response-failed'
  readonly request: RequestId
  readonly outcome: Outcome
  readonly reason: string
  /** Present when the upstream ended while it ran the request. */
  readonly crash?: Crash
}

/** One end of an upstream, as told with each request that ran there. */
export interface Crash {
  /** Names this end, so that a report that comes twice counts once. */
  readonly id: string
  /** True when the upstream ran nothing else. */
  readonly alone: boolean
}

/** What an agent is and can take. Sent on every change, at most every few milliseconds. */
export interface AgentStateMessage {
  readonly kind: 'agent-state'
  readonly upstream: UpstreamId
  readonly service: ServiceId
  readonly zone: ZoneId
  readonly state: AgentState
  readonly reason: string
  readonly limit: number
  readonly running: number
}

/** Cumulative service of one process incarnation to one workspace by one service. */
export interface CounterEntry {
  readonly origin: Incarnation
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost charged since the origin began; only grows. */
  readonly total: number
  /** Virtual cost given back by corrections since the origin began; only grows. */
  readonly refund: number
}

/** Largest forfeited credit of a workspace at a service, in cost units by weight; only grows. */
export interface LiftEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly lift: number
}

/** A router where a workspace waits. */
export interface BackloggedEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly router: HostId
  readonly waiting: number
  /** Milliseconds since the router said so. */
  readonly age: Millis
}

/** Sum of the folded origins for one workspace and service. */
export interface BaseEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly total: number
}

/** The sums of all folded origins, taken over as a whole from whoever has the larger one. */
export interface BaseSnapshot {
  readonly sum: number
  readonly entries: readonly BaseEntry[]
  readonly folded: readonly Incarnation[]
}

/** Counters that changed since the last message, merged by the largest value. */
export interface CountersMessage {
  readonly kind: 'counters'
  readonly entries: readonly CounterEntry[]
  readonly lifts: readonly LiftEntry[]
  readonly backlogged: readonly BackloggedEntry[]
  readonly base?: BaseSnapshot
}

/** The newest configuration revision of the sender, with its documents when the receiver is behind. */
export interface RevisionMessage {
  readonly kind: 'revision'
  readonly revision: number
  /** Texts of the base file and of the overlays, as published; absent when only the number is told. */
  readonly documents?: string
}

/** The sender wants the documents of any revision above this one. */
export interface RevisionRequestMessage {
  readonly kind: 'revision-ask'
  readonly revision: number
}

/** Hosts that leave, as the sender heard from the platform. */
export interface LeavingMessage {
  readonly kind: 'leaving'
  readonly hosts: readonly HostId[]
}

/** A router has backlog that too few agents serve; agents of the service may link with it. */
export interface CapacityRequestMessage {
  readonly kind: 'hunger'
  readonly router: HostId
  readonly zone: ZoneId
  readonly service: ServiceId
  /** Counts the calls, from 1; each one is meant for twice as many agents as the one before. */
  readonly round: number
}

/** A fingerprint that ended upstreams, refused for a while. */
export interface QuarantineMessage {
  readonly kind: 'quarantine'
  readonly workspace: WorkspaceId
  readonly fingerprint: Fingerprint
  /** Milliseconds for which it is refused from now on. */
  readonly remaining: Millis
}

/** An upstream ended while it ran a request. */
export interface CrashReportMessage {
  readonly kind: 'crash-report'
  readonly workspace: WorkspaceId
  readonly fingerprint: Fingerprint
  readonly upstream: UpstreamId
  readonly crash: Crash
}

/** The present home of a key asks the previous one what it knows; a router passes it on. */
export interface KeyQueryMessage {
  readonly kind: 'key-ask'
  /** Rising number by which the sender knows the answer again. */
  readonly ask: number
  /** Revision that moved the key. */
  readonly revision: number
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly key: string
  readonly fingerprint: Fingerprint
  /** The previous home. */
  readonly upstream: UpstreamId
}

/** An answer that is given again. */
export interface StoredResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Uint8Array
}

/** What the previous home of a key knows; a router passes it back. */
export interface KeyQueryResultMessage {
  readonly kind: 'key-told'
  readonly ask: number
  /** `earlier`: never there. `behind`: one of the two homes has yet to hear of a revision. `ended` without an answer: it is no longer kept. */
  readonly state: 'never' | 'earlier' | 'running' | 'behind' | 'ended' | 'conflict' | 'unknown'
  readonly answer?: StoredResponse
  /** The home before, and the revision that moved the key away from there; present when the state is `earlier`. */
  readonly home?: { readonly upstream: UpstreamId, readonly revision: number }
}

/** From an agent to a router. */
export type AgentMessage = PullMessage | AcceptedMessage | DeclinedMessage | CreditMessage | ResponseHeadMessage |
  ResponseBodyMessage | ResponseEndMessage | ResponseFailedMessage | AgentStateMessage | SharedMessage

/** From a router to an agent. */
export type RouterMessage = BacklogMessage | PullEmptyMessage | HandoverMessage | RequestBodyMessage | CancelMessage |
  CreditMessage | SharedMessage

/** Between any two processes. */
export type SharedMessage = CountersMessage | RevisionMessage | RevisionRequestMessage | LeavingMessage | CapacityRequestMessage | QuarantineMessage | CrashReportMessage |
  KeyQueryMessage | KeyQueryResultMessage

/** Any message of a session. */
export type Message = AgentMessage | RouterMessage

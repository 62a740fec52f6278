/** Messages between the processes of the fleet. Sessions deliver them in order and at most once. */
import type {
  Fingerprint, HostId, Incarnation, Millis, RequestId, ServiceId, UpstreamId, WorkspaceId, ZoneId
} from '@fuchsiaworks/kernel'

/** Header names and values in the order received; names may repeat. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>

/** Whether a request that failed without a complete upstream response was executed there. */
export type Outcome = 'not-run' | 'unknown' | 'ran'

/** Whether an agent accepts new requests, and if not, why. */
export type AgentState = 'ready' | 'cold' | 'draining' | 'leaving' | 'zone-out' | 'down'

/** Requests of one workspace queued at one router for one service. */
export interface BacklogEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
  /** Milliseconds that the oldest request has been queued. */
  readonly oldestWait: Millis
  /** Estimated cost of the oldest request, in cost units. */
  readonly headCost: number
}

/** Backlog of a router for one service; replaces the one sent before. */
export interface BacklogMessage {
  readonly kind: 'backlog'
  readonly service: ServiceId
  readonly entries: readonly BacklogEntry[]
}

/** An agent with a free slot requests one queued request of a workspace. */
export interface PullMessage {
  readonly kind: 'pull'
  /** Increasing number, unique within the agent's incarnation. */
  readonly pull: number
  readonly service: ServiceId
  readonly workspace: WorkspaceId
}

/** The router has no queued request for a pull. */
export interface PullEmptyMessage {
  readonly kind: 'pull-empty'
  readonly pull: number
}

/** Hands a request over to the agent that pulled. The agent must reply with `accepted` or `declined`. */
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
  /** First chunk of the body; unless `bodyEnded` is set, the rest follows in `request-body` messages. */
  readonly body: Uint8Array
  readonly bodyEnded: boolean
  /** Attempt number, starting at 1. */
  readonly attempt: number
  /** True for a request that may have crashed an upstream; the upstream must not run any other request beside it. */
  readonly alone: boolean
}

/** The agent has started the request. */
export interface AcceptedMessage {
  readonly kind: 'accepted'
  readonly request: RequestId
}

/** The agent has not started the request and will not start it. */
export interface DeclinedMessage {
  readonly kind: 'declined'
  readonly request: RequestId
  readonly reason: 'expired' | 'not-accepting' | 'not-home' | 'key-running' | 'key-unknown' | 'quarantined'
}

/** A chunk of the request body. */
export interface RequestBodyMessage {
  readonly kind: 'request-body'
  readonly request: RequestId
  readonly data: Uint8Array
  readonly ended: boolean
}

/** The caller has disconnected or the router has given up; the agent cancels the request at the upstream. */
export interface CancelMessage {
  readonly kind: 'cancel'
  readonly request: RequestId
}

/** Flow control: the receiver of a body has consumed `bytes` more; the sender may send as many more. */
export interface CreditMessage {
  readonly kind: 'credit'
  readonly request: RequestId
  readonly direction: 'request' | 'response'
  readonly bytes: number
}

/** Status and headers of the upstream's response. */
export interface ResponseHeadMessage {
  readonly kind: 'response-head'
  readonly request: RequestId
  readonly status: number
  readonly headers: HeaderList
}

/** A chunk of the response body. */
export interface ResponseBodyMessage {
  readonly kind: 'response-body'
  readonly request: RequestId
  readonly data: Uint8Array
}

/** The response is complete. */
export interface ResponseEndMessage {
  readonly kind: 'response-end'
  readonly request: RequestId
  readonly trailers: HeaderList
  /** Final cost in cost units. */
  readonly cost: number
}

/** The upstream sent no complete response. */
export interface ResponseFailedMessage {
  readonly kind: 'response-failed'
  readonly request: RequestId
  readonly outcome: Outcome
  readonly reason: string
  /** Present when the upstream crashed while it ran the request. */
  readonly crash?: Crash
}

/** One crash of an upstream, as reported with each request that was running there. */
export interface Crash {
  /** Identifies the crash, so that a report that arrives twice is counted once. */
  readonly id: string
  /** True when the upstream ran no other request. */
  readonly alone: boolean
}

/** State and capacity of an agent. Sent on every change, at most once every few milliseconds. */
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

/** Cumulative cost of the requests of one workspace at one service, as charged by one process incarnation. */
export interface CounterEntry {
  readonly origin: Incarnation
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Virtual cost charged since the origin started; never decreases. */
  readonly total: number
  /** Virtual cost refunded by corrections since the origin started; never decreases. */
  readonly refund: number
}

/** Largest credit that a workspace has forfeited at a service, in cost units divided by its weight; never decreases. */
export interface LiftEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly lift: number
}

/** A router at which a workspace has queued requests. */
export interface BackloggedEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly router: HostId
  readonly waiting: number
  /** Milliseconds since the router reported this. */
  readonly age: Millis
}

/** Sum over the folded origins for one workspace and service. */
export interface BaseEntry {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly total: number
}

/** Sums over all folded origins. On a merge, the snapshot with the larger sum replaces the other as a whole. */
export interface BaseSnapshot {
  readonly sum: number
  readonly entries: readonly BaseEntry[]
  readonly folded: readonly Incarnation[]
}

/** Counters that changed since the last message. The receiver merges them by maximum. */
export interface CountersMessage {
  readonly kind: 'counters'
  readonly entries: readonly CounterEntry[]
  readonly lifts: readonly LiftEntry[]
  readonly backlogged: readonly BackloggedEntry[]
  readonly base?: BaseSnapshot
}

/** Newest configuration revision of the sender, with its documents when the receiver has an older one. */
export interface RevisionMessage {
  readonly kind: 'revision'
  readonly revision: number
  /** Base file and overlays as published; absent when only the revision number is advertised. */
  readonly documents?: string
}

/** Requests the documents of any revision newer than this one. */
export interface RevisionRequestMessage {
  readonly kind: 'revision-ask'
  readonly revision: number
}

/** Hosts that are leaving, as reported to the sender by the platform. */
export interface LeavingMessage {
  readonly kind: 'leaving'
  readonly hosts: readonly HostId[]
}

/** A router has backlog that too few linked agents serve; agents of the service may open a link to it. */
export interface CapacityRequestMessage {
  readonly kind: 'hunger'
  readonly router: HostId
  readonly zone: ZoneId
  readonly service: ServiceId
  /** Number of the request, starting at 1; each one is meant for twice as many agents as the previous one. */
  readonly round: number
}

/** A request fingerprint that has crashed upstreams and is refused for some time. */
export interface QuarantineMessage {
  readonly kind: 'quarantine'
  readonly workspace: WorkspaceId
  readonly fingerprint: Fingerprint
  /** Milliseconds for which the fingerprint is still refused. */
  readonly remaining: Millis
}

/** An upstream crashed while it ran a request. */
export interface CrashReportMessage {
  readonly kind: 'crash-report'
  readonly workspace: WorkspaceId
  readonly fingerprint: Fingerprint
  readonly upstream: UpstreamId
  readonly crash: Crash
}

/**
 * The home of an idempotency key, that is the upstream that owns it, queries the key's previous home after a
 * configuration revision has moved the key. A router relays the query.
 */
export interface KeyQueryMessage {
  readonly kind: 'key-ask'
  /** Increasing number by which the sender matches the reply. */
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

/** A response that is stored under an idempotency key and replayed. */
export interface StoredResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Uint8Array
}

/** Reply of a key's previous home to a query. A router relays it back. */
export interface KeyQueryResultMessage {
  readonly kind: 'key-told'
  readonly ask: number
  /**
   * `never`: the request has not run at this home or an earlier one. `earlier`: it has not run here, but may have run at
   * an earlier home. `behind`: one of the two homes has not applied the newest revision yet. `ended` without an answer: the
   * response is no longer stored.
   */
  readonly state: 'never' | 'earlier' | 'running' | 'behind' | 'ended' | 'conflict' | 'unknown'
  readonly answer?: StoredResponse
  /** The earlier home, and the revision that moved the key away from it; present when the state is `earlier`. */
  readonly home?: { readonly upstream: UpstreamId, readonly revision: number }
}

/** Messages from an agent to a router. */
export type AgentMessage = PullMessage | AcceptedMessage | DeclinedMessage | CreditMessage | ResponseHeadMessage |
  ResponseBodyMessage | ResponseEndMessage | ResponseFailedMessage | AgentStateMessage | SharedMessage

/** Messages from a router to an agent. */
export type RouterMessage = BacklogMessage | PullEmptyMessage | HandoverMessage | RequestBodyMessage | CancelMessage |
  CreditMessage | SharedMessage

/** Messages between any two processes. */
export type SharedMessage = CountersMessage | RevisionMessage | RevisionRequestMessage | LeavingMessage | CapacityRequestMessage | QuarantineMessage | CrashReportMessage |
  KeyQueryMessage | KeyQueryResultMessage

/** Any message of a session. */
export type Message = AgentMessage | RouterMessage

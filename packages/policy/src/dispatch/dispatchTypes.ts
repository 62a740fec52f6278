/** Events and commands of an agent's slots. */
import type { Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Link to one incarnation of a router. */
export type RouterLink = string

/** Queued requests of one workspace at one router; structurally equal to the entry of the backlog message. */
export interface BacklogEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
  /** Milliseconds that the oldest request has been queued. */
  readonly oldestWait: Millis
  /** Estimated cost of the oldest request, in cost units. */
  readonly headCost: number
}

/** Input events of an agent's slots. */
export type DispatchEvent =
  /** Backlog received from a router; replaces the earlier one for the service. */
  { readonly kind: 'router-backlog', readonly router: RouterLink, readonly service: ServiceId, readonly entries: readonly BacklogEntry[], readonly now: Millis } |
  /** The session with the router has ended. */
  { readonly kind: 'router-gone', readonly router: RouterLink, readonly now: Millis } |
  /** New concurrency limit; 0 stops pulling. */
  { readonly kind: 'slots-changed', readonly limit: number, readonly now: Millis } |
  /** A handover was received for a pending pull; the slot now runs the request. */
  { readonly kind: 'pull-answered', readonly pull: number, readonly request: RequestId, readonly now: Millis } |
  { readonly kind: 'pull-empty', readonly pull: number, readonly now: Millis } |
  /** The request was declined, cancelled or completed; its slot is free. */
  { readonly kind: 'request-ended', readonly request: RequestId, readonly now: Millis } |
  { readonly kind: 'tick', readonly now: Millis }

/** Command that results from an event: a pull, which reserves a slot. */
export interface DispatchCommand {
  readonly kind: 'pull'
  readonly router: RouterLink
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Sequence number within the agent's incarnation. */
  readonly pull: number
}

/** Settings of an agent's slots. */
export interface DispatchConfig {
  /** Milliseconds after which a pull without a reply frees its slot; a later handover is declined. */
  readonly pullTtl: Millis
  /** Milliseconds without a reply to a pull after which other routers are preferred. */
  readonly slowRouterAfter: Millis
  /** Seed by which this agent breaks ties among routers. */
  readonly seed: number
}

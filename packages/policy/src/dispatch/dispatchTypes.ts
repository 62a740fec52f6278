/** Events and commands of an agent's slots. */
import type { Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Link to one incarnation of a router. */
export type RouterLink = string

/** Waiting requests of one workspace at one router; equal in structure to the message's entry. */
export interface BacklogEntry {
  readonly workspace: WorkspaceId
  readonly waiting: number
  /** Milliseconds that the oldest of them has waited. */
  readonly oldestWait: Millis
  /** Estimated cost of the oldest, in cost units. */
  readonly headCost: number
}

/** What an agent's slots are told. */
export type DispatchEvent =
  /** Replaces what the router said of the service before. */
  { readonly kind: 'router-backlog', readonly router: RouterLink, readonly service: ServiceId, readonly entries: readonly BacklogEntry[], readonly now: Millis } |
  /** The session with the router has ended. */
  { readonly kind: 'router-gone', readonly router: RouterLink, readonly now: Millis } |
  /** Slots that may be in use; 0 stops pulling. */
  { readonly kind: 'slots-changed', readonly limit: number, readonly now: Millis } |
  /** A handover came for a pull that isPending; the slot now runs the request. */
  { readonly kind: 'pull-answered', readonly pull: number, readonly request: RequestId, readonly now: Millis } |
  { readonly kind: 'pull-empty', readonly pull: number, readonly now: Millis } |
  /** The request was declined, cancelled or answered; its slot is free. */
  { readonly kind: 'request-ended', readonly request: RequestId, readonly now: Millis } |
  { readonly kind: 'tick', readonly now: Millis }

/** What follows from an event: a pull, which reserves a slot. */
export interface DispatchCommand {
  readonly kind: 'pull'
  readonly router: RouterLink
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  /** Rising number within the agent's incarnation. */
  readonly pull: number
}

/** Settings of an agent's slots. */
export interface DispatchConfig {
  /** Milliseconds after which an unanswered pull frees its slot; a later handover is declined. */
  readonly pullTtl: Millis
  /** Milliseconds without an answer to a pull after which other routers are asked first. */
  readonly slowRouterAfter: Millis
  /** Seed by which this agent breaks ties among routers. */
  readonly seed: number
}

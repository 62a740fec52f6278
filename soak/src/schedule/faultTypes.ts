/** Faults of a soak and when they come. */
import type { Millis } from '@fuchsiaworks/kernel'

/** What can happen to a gateway's process. */
export const GATEWAY_FAULTS = ['stop', 'kill', 'pause', 'reload', 'clock-jump'] as const

/** What can happen to the way between two processes. `silence`: open connections lose all; `one-way`: they lose what goes to the target. */
export const LINK_FAULTS = ['cut', 'stall', 'silence', 'one-way', 'delay'] as const

/** What can happen to the platform's store. */
export const STORE_FAULTS = ['busy', 'silent', 'reset', 'slow', 'lost', 'forget-history'] as const

/** What can happen to an upstream. `flap`: goes and comes back by turns. */
export const UPSTREAM_FAULTS = ['crash', 'hang', 'full', 'truncate-responses', 'extra-bytes', 'leave', 'turn-cold', 'flap'] as const

/** What operators do. */
export const OPERATOR_ACTIONS = ['publish', 'publish-series', 'revoke-key', 'exclude-zone'] as const

/** A fault, with what it strikes. Indexes count from 0 and wrap around. */
export type FaultKind =
  | { readonly target: 'gateway', readonly index: number, readonly action: typeof GATEWAY_FAULTS[number] }
  | { readonly target: 'all-gateways', readonly action: 'kill' }
  | { readonly target: 'peer-link' | 'store-link', readonly index: number, readonly action: typeof LINK_FAULTS[number] }
  | { readonly target: 'upstream-link', readonly index: number, readonly action: typeof LINK_FAULTS[number] }
  | { readonly target: 'store', readonly action: typeof STORE_FAULTS[number] }
  | { readonly target: 'upstream', readonly index: number, readonly action: typeof UPSTREAM_FAULTS[number] }
  | { readonly target: 'operator', readonly index: number, readonly action: typeof OPERATOR_ACTIONS[number] }

/** A fault of the schedule. */
export interface ScheduledFault {
  /** Milliseconds from the start of the load. */
  readonly startMs: Millis
  /** Milliseconds until it is taken back. */
  readonly durationMs: Millis
  readonly kind: FaultKind
}

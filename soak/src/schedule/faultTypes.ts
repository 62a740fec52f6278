/** Faults of a soak and when they come. */
import type { Millis } from '@fuchsiaworks/kernel'

/** What can happen to a gateway's process. */
export const GATEWAY_FAULTS = ['stop', 'kill', 'pause', 'reload', 'clock-jump'] as const

/** What can happen to the way between two processes. `silence`: open connections lose all; `one-way`: they lose what goes to the target. */
export const LINK_FAULTS = ['cut', 'stall', 'silence', 'one-way', 'delay'] as const

/** What can happen to the platform's store. */
export const STORE_FAULTS = ['busy', 'silent', 'reset', 'slow', 'lost', 'forget-history'] as const

/** What can happen to an upstream. `flap`: goes and comes back by turns. */
export const UPSTREAM_FAULTS = ['crash', 'mute', 'full', 'cut-answers', 'extra-bytes', 'leave', 'turn-cold', 'flap'] as const

/** What operators do. */
export const OPERATOR_ACTS = ['publish', 'publish-series', 'take-key', 'close-zone'] as const

/** A fault, with what it strikes. Indexes count from 0 and wrap around. */
export type FaultKind =
  | { readonly subject: 'gateway', readonly index: number, readonly act: typeof GATEWAY_FAULTS[number] }
  | { readonly subject: 'all-gateways', readonly act: 'kill' }
  | { readonly subject: 'peer-link' | 'store-link', readonly index: number, readonly act: typeof LINK_FAULTS[number] }
  | { readonly subject: 'upstream-link', readonly index: number, readonly act: typeof LINK_FAULTS[number] }
  | { readonly subject: 'store', readonly act: typeof STORE_FAULTS[number] }
  | { readonly subject: 'upstream', readonly index: number, readonly act: typeof UPSTREAM_FAULTS[number] }
  | { readonly subject: 'operator', readonly index: number, readonly act: typeof OPERATOR_ACTS[number] }

/** A fault of the schedule. */
export interface ScheduledFault {
  /** Milliseconds from the start of the load. */
  readonly at: Millis
  /** Milliseconds until it is taken back. */
  readonly length: Millis
  readonly kind: FaultKind
}

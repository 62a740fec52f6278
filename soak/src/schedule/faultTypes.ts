/** Types of faults, and the entries of a fault schedule. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Faults of a gateway process. */
export const GATEWAY_FAULTS = ['stop', 'kill', 'pause', 'reload', 'clock-jump'] as const

/** Faults of a link between two processes. `silence`: open connections lose all bytes; `one-way`: those towards the target. */
export const LINK_FAULTS = ['cut', 'stall', 'silence', 'one-way', 'delay'] as const

/** Faults of the platform's store. */
export const STORE_FAULTS = ['busy', 'silent', 'reset', 'slow', 'lost', 'forget-history'] as const

/** The store comes back from a copy as old as the fault lasts; what was written since is written again soon after. Drawn apart from its other faults. */
export const STORE_RESTORE = 'restore'

/** Faults of an upstream. `hang`: accepts requests and never responds; `flap`: crashes twice, with a restart in between. */
export const UPSTREAM_FAULTS = ['crash', 'hang', 'full', 'truncate-responses', 'extra-bytes', 'leave', 'turn-cold', 'flap'] as const

/** An upstream breaks a share of its responses off and writes them once more. Drawn apart from its other faults. */
export const RESPONSES_REPEATED = 'repeat-responses'

/** Actions of operators. */
export const OPERATOR_ACTIONS = ['publish', 'publish-series', 'revoke-key', 'exclude-zone'] as const

/** A fault and its target. An index is taken modulo the number of targets. */
export type FaultKind =
  | { readonly target: 'gateway', readonly index: number, readonly action: typeof GATEWAY_FAULTS[number] }
  | { readonly target: 'all-gateways', readonly action: 'kill' }
  | { readonly target: 'peer-link' | 'store-link', readonly index: number, readonly action: typeof LINK_FAULTS[number] }
  | { readonly target: 'upstream-link', readonly index: number, readonly action: typeof LINK_FAULTS[number] }
  | { readonly target: 'store', readonly action: typeof STORE_FAULTS[number] | typeof STORE_RESTORE }
  | { readonly target: 'upstream', readonly index: number, readonly action: typeof UPSTREAM_FAULTS[number] }
  /** The seed draws which responses are repeated, and how. */
  | { readonly target: 'upstream', readonly index: number, readonly action: typeof RESPONSES_REPEATED, readonly seed: number }
  /** Callers ask one gateway on a small host for more than it can serve. */
  | { readonly target: 'callers', readonly index: number, readonly action: 'press' }
  | { readonly target: 'operator', readonly index: number, readonly action: typeof OPERATOR_ACTIONS[number] }

/** A fault in a schedule. */
export interface ScheduledFault {
  /** Time from the start of the load. */
  readonly startMs: Millis
  /** Time until the fault is cleared. */
  readonly durationMs: Millis
  readonly kind: FaultKind
}

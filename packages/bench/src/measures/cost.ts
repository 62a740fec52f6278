/** What work costs, as the configuration of the bench charges it. */
import type { ServiceShape } from '../deployment/deploymentTypes.js'

/** Cost units; the defaults of the configuration. */
export const COST = {
  promptToken: 1,
  outputToken: 4,
  busyMilli: 1
} as const

/**
 * Charges work.
 *
 * @param kind - kind of the service
 * @param promptTokens - prompt tokens, 0 at a plain service
 * @param work - generated tokens or busy milliseconds
 * @returns cost units
 */
export const costOf = (kind: ServiceShape['kind'], promptTokens: number, work: number): number => kind === 'engine'
  ? promptTokens * COST.promptToken + work * COST.outputToken
  : work * COST.busyMilli

/** Cost of requests, as the fleet charges it under the configuration of the bench. */
import type { ServiceShape } from '../deployment/deploymentTypes.js'

/** Cost units per token or busy millisecond; equal to the defaults of the configuration. */
export const COST = {
  promptToken: 1,
  outputToken: 4,
  busyMilli: 1
} as const

/**
 * Calculates the cost of a request, or of a part of it.
 *
 * @param kind - kind of the service
 * @param promptTokens - number of prompt tokens; 0 at a plain service
 * @param work - output tokens, or busy milliseconds at a plain service
 * @returns cost units
 */
export const costOf = (kind: ServiceShape['kind'], promptTokens: number, work: number): number => kind === 'engine'
  ? promptTokens * COST.promptToken + work * COST.outputToken
  : work * COST.busyMilli

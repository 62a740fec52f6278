/**
 * Upper bound of the fairness gap: 2·C + A·R·T, where C is the cost of all slots in use at the largest cost of a request, and
 * A·R·T the cost that can be served while service totals are out of date (exchange period plus link delay); both by weight.
 */
import type { Deployment, ServiceShape } from '../deployment/deploymentTypes.js'
import { MAX_BUSY_FACTOR, MAX_TOKENS, requestsPerSecondOf } from '../load/capacity.js'
import { COST } from './cost.js'

/** Tokens of the longest prompt that the bench sends. */
const LONGEST_PROMPT_TOKENS = 1100

/** Period in which processes exchange service totals; equal to the default of the configuration. */
export const EXCHANGE_PERIOD_MS = 250

const largestCost = (service: ServiceShape): number => service.kind === 'engine'
  ? LONGEST_PROMPT_TOKENS * COST.promptToken + MAX_TOKENS * COST.outputToken
  : service.standinTimeMs * MAX_BUSY_FACTOR * COST.busyMilli

/**
 * Calculates the bound of one service.
 *
 * @param deployment - the deployment
 * @param service - the service
 * @returns cost units per unit of weight
 */
export const fairnessBound = (deployment: Deployment, service: ServiceShape): number => {
  const weights = deployment.workspaces.filter(({ services }) => service.id in services).map(({ weight }) => weight)
  const least = Math.min(...weights)
  const inFlight = service.upstreamZones.length * service.slots * largestCost(service) / least
  const age = (EXCHANGE_PERIOD_MS + deployment.linkDelayMs) / 1000
  const rate = requestsPerSecondOf(service) * largestCost(service) / least
  return 2 * inFlight + rate * age
}

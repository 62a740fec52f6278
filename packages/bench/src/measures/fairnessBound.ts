/** The bound on the fairness gap that the design states: 2·C + A·R·T. */
import type { Deployment, ServiceShape } from '../deployment/deploymentTypes.js'
import { MAX_BUSY_FACTOR, MAX_TOKENS, requestsPerSecondOf } from '../load/capacity.js'
import { COST } from './cost.js'

/** Tokens of the longest prompt of the bench. */
const LONGEST_PROMPT_TOKENS = 1100

/** Milliseconds between two exchanges of service totals, the default of the configuration. */
export const EXCHANGE_PERIOD_MS = 250

const largestCost = (service: ServiceShape): number => service.kind === 'engine'
  ? LONGEST_PROMPT_TOKENS * COST.promptToken + MAX_TOKENS * COST.outputToken
  : service.pace * MAX_BUSY_FACTOR * COST.busyMilli

/**
 * Works the bound out.
 *
 * @param deployment - the deployment
 * @param service - the service
 * @returns cost units by weight
 */
export const fairnessBound = (deployment: Deployment, service: ServiceShape): number => {
  const weights = deployment.workspaces.filter(({ services }) => service.id in services).map(({ weight }) => weight)
  const least = Math.min(...weights)
  const inFlight = service.upstreamZones.length * service.slots * largestCost(service) / least
  const age = (EXCHANGE_PERIOD_MS + deployment.linkDelay) / 1000
  const rate = requestsPerSecondOf(service) * largestCost(service) / least
  return 2 * inFlight + rate * age
}

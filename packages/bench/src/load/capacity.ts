/** Capacity of services, calculated from the configured times of their stand-ins. */
import { DEFAULT_ENGINE_KNOBS } from '@fuchsiaworks/standins'
import type { ServiceShape } from '../deployment/deploymentTypes.js'

/** Mean number of output tokens of a request. */
export const MEAN_TOKENS = 24

/** Largest number of output tokens of a request. */
export const MAX_TOKENS = 96

/** Longest busy time of a call to a plain service, as a multiple of the mean. */
export const MAX_BUSY_FACTOR = 4

/**
 * Calculates the mean time for which a request holds a slot.
 *
 * @param service - the service
 * @returns milliseconds
 */
export const meanSlotTimeMs = (service: ServiceShape): number => service.kind === 'engine'
  ? DEFAULT_ENGINE_KNOBS.firstToken + MEAN_TOKENS * service.standinTimeMs
  : service.standinTimeMs

/**
 * Calculates the throughput of a service while all slots of its upstreams are taken.
 *
 * @param service - the service
 * @returns requests per second
 */
export const requestsPerSecondOf = (service: ServiceShape): number =>
  service.upstreamZones.length * service.slots * 1000 / meanSlotTimeMs(service)

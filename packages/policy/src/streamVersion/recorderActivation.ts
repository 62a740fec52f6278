/** Decides which stream recorders of a large fleet are active. */

/** Recorders that are active on average; each gateway sends its records to all of them. */
const ACTIVE_RECORDERS = 6

/** Factor by which the limit of an active recorder is higher: one that becomes inactive loses its records, and upstreams come and go. */
const HYSTERESIS = 1.5

/** Range of a 32-bit hash. */
const HASH_RANGE = 2 ** 32

/**
 * Decides whether a recorder is active.
 *
 * @param hostHash - hash of the recorder's host, from 0 to 2^32 - 1
 * @param upstreams - engine upstreams that gateways list
 * @param wasActive - whether it is active now
 */
export const isRecorderActive = (hostHash: number, upstreams: number, wasActive: boolean): boolean =>
  upstreams <= ACTIVE_RECORDERS || hostHash / HASH_RANGE < ACTIVE_RECORDERS * (wasActive ? HYSTERESIS : 1) / upstreams

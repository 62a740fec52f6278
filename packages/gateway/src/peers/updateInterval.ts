/** Interval between the state updates that a gateway sends to its peers. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Added to the interval between two updates for each known peer, which bounds the rate of messages that a gateway receives. */
const UPDATE_INTERVAL_PER_PEER_MS = 5

/** Bounds of the interval between two updates. */
const UPDATE_INTERVAL_MS = { min: 40, max: 420 } as const

/** Utilization from which a gateway sends updates less often, as a message to each peer takes a good part of the time of a small host. */
const SPARING_UTILIZATION = 0.75

/** Factor of the update interval of a gateway that has no time left. */
const SPARING_FACTOR = 3

/** @returns the interval between two updates of a gateway */
export const updateIntervalMs = (peers: number, utilization: number): Millis => {
  const factor = utilization < SPARING_UTILIZATION ? 1 : SPARING_FACTOR
  return Math.min(UPDATE_INTERVAL_MS.max, Math.max(UPDATE_INTERVAL_MS.min, peers * UPDATE_INTERVAL_PER_PEER_MS * factor))
}

/**
 * Decides where a new connection of a caller is served: here, by a peer gateway with more time, or nowhere. The load balancer
 * sends all connections of a caller to one gateway. When they ask for more than its processor can serve, connections would wait in
 * its listen queue for longer than their callers do, and its time would go to callers that have left, while its peers idle. To pass
 * the bytes of a connection on takes about a fifth of the time that it takes to serve it.
 */
import type { Millis, ZoneId } from '@fuchsiaworks/kernel'
import type { ConnectionDecision, OffloadInputs, OffloadPeer } from './offloadTypes.js'

/** Utilization from which connections are offloaded, and from which all are. */
const OFFLOAD_UTILIZATION = { from: 0.75, all: 0.92 } as const

/** Utilization from which a peer is given no connections. */
const MAX_PEER_UTILIZATION = 0.7

/** How much less than this gateway a peer must be utilized, so that equally busy gateways don't exchange connections. */
const MIN_UTILIZATION_DIFFERENCE = 0.15

/** Headroom below which the peers of the own zone are not enough, and those of other zones are used, too. */
const MIN_ZONE_HEADROOM = 0.1

/** Wait in the listen queue from which a connection is refused that no peer has time for. */
const REFUSAL_WAIT_MS: Millis = 200

/** Retry delay of a refused connection: short, as the caller's next connection reaches another gateway. */
const RETRY_AFTER_MS: Millis = 100

/**
 * Share of connections that a gateway gives away, from 0 to 1.
 *
 * @param utilization - utilization of its event loop
 */
export const offloadShare = (utilization: number): number => {
  const { from, all } = OFFLOAD_UTILIZATION
  return Math.min(1, Math.max(0, (utilization - from) / (all - from)))
}

const headroomOf = ({ utilization }: OffloadPeer): number => MAX_PEER_UTILIZATION - utilization

/** @returns whether the own zone as a whole has time: a single idle peer would otherwise be given the connections of all busy gateways of its zone */
const hasZoneTime = ({ zone, peers, zoneUtilization }: OffloadInputs): boolean => {
  const inZone = peers.filter(peer => peer.zone === zone)
  const mean = zoneUtilization ?? inZone.reduce((sum, peer) => sum + peer.utilization, 0) / inZone.length
  return mean <= MAX_PEER_UTILIZATION - MIN_ZONE_HEADROOM
}

/** @returns peers with time to spare: those of the own zone, and those of all zones when the former are busy */
const findCandidates = (inputs: OffloadInputs): OffloadPeer[] => {
  const { zone, utilization, revision, peers } = inputs
  const idle = peers.filter(peer => headroomOf(peer) > 0 && peer.utilization + MIN_UTILIZATION_DIFFERENCE < utilization && peer.revision >= revision)
  const inZone = idle.filter(peer => peer.zone === zone)
  return hasZoneTime(inputs) && inZone.some(peer => headroomOf(peer) >= MIN_ZONE_HEADROOM) ? inZone : idle
}

/** @returns whether a peer has enough time to be given connections for a while */
export const hasTimeToSpare = ({ utilization }: Pick<OffloadPeer, 'utilization'>): boolean => MAX_PEER_UTILIZATION - utilization >= MIN_ZONE_HEADROOM

/**
 * Orders peers by how useful a link to them is: those with time to spare first, of the own zone before others, then the least busy. The number of links is
 * limited, so links to busy peers of the own zone would leave none for the other zones when the own zone is full.
 */
export const rankForLinks = <T extends Pick<OffloadPeer, 'zone' | 'utilization'>>(zone: ZoneId, peers: readonly T[]): T[] =>
  [...peers].sort((a, b) => Number(hasTimeToSpare(b)) - Number(hasTimeToSpare(a)) || Number(b.zone === zone) - Number(a.zone === zone) || a.utilization - b.utilization)

/** Picks a peer with a probability that grows with its headroom, so that gateways that see the same loads spread their connections. */
const pickByHeadroom = (candidates: readonly OffloadPeer[], random: () => number): OffloadPeer | undefined => {
  const weights = candidates.map(peer => headroomOf(peer) ** 2)
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0)
  return candidates.find((_, index) => (left -= weights[index] ?? 0) < 0) ?? candidates.at(-1)
}

/**
 * Decides where a new connection is served.
 *
 * @param inputs - load of this gateway and its peers
 * @param random - returns numbers from 0 to below 1
 */
export const decideConnection = (inputs: OffloadInputs, random: () => number): ConnectionDecision => {
  const share = offloadShare(inputs.utilization)
  if (share === 0 || random() >= share) return { kind: 'serve' }
  const peer = pickByHeadroom(findCandidates(inputs), random)
  if (peer !== undefined) return { kind: 'offload', peer: peer.id }
  return inputs.listenQueueWaitMs >= REFUSAL_WAIT_MS ? { kind: 'refuse', retryAfterMs: RETRY_AFTER_MS } : { kind: 'serve' }
}

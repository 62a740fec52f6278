/** Takes the new connections of callers and has them served here, given to a peer gateway, or refused. */
import type { Socket } from 'node:net'
import { assertNever, type EventLoopMonitor, type ListenQueueProbe, type Millis, type Clock, type ZoneId } from '@fuchsiaworks/kernel'
import { type ConnectionDecision, decideConnection, hasTimeToSpare, offloadShare, type OffloadPeer, rankForLinks } from '@fuchsiaworks/policy'
import type { PeerMesh, ReachablePeer } from '../peers/peerMesh.js'
import type { HeaderPort } from '../port/headerPort.js'
import { rawRefusal } from '../requests/refusals.js'
import type { ConnectionOffloader } from './connectionOffloader.js'

/** Links that are always open, so that a sudden load can be passed on at once, and utilization from which more are opened. */
const WARM_LINKS = 2
const MORE_LINKS_UTILIZATION = 0.7

/** Utilization below which connections that peers serve are brought back. */
const BRING_BACK_UTILIZATION = 0.5

/** Utilization from which the listen queue is probed again and again. */
const PROBE_UTILIZATION = 0.85

/** Wait in the listen queue from which it is probed until it is short again, and the time between two probes. */
const PROBE_WAIT_MS: Millis = 50
const PROBE_INTERVAL_MS: Millis = 250

/** Time for which a refused caller may still send before its connection is closed; a close with unread bytes could discard the response. */
const LINGER_MS: Millis = 1000

/** Parts of a gateway on which the decision depends. */
export interface DispatcherParts {
  readonly clock: Clock
  readonly zone: ZoneId
  readonly random: () => number
  readonly eventLoop: EventLoopMonitor
  readonly probe: ListenQueueProbe
  readonly mesh: PeerMesh
  readonly offloader: ConnectionOffloader
  readonly headers: HeaderPort
  /** Open connections that this gateway has accepted, and the number of them from which responses close their connections. */
  readonly connections: () => number
  readonly maxConnections: number
  /** Revision of the own configuration; -1 for none. */
  readonly revision: () => number
}

type UsablePeer = ReachablePeer & OffloadPeer

const isUsable = (peer: ReachablePeer): peer is UsablePeer => peer.utilization !== undefined

/** Dispatches connections. */
export class ConnectionDispatcher {
  readonly #parts: DispatcherParts
  #peers: readonly UsablePeer[] = []
  #zoneUtilization: number | undefined
  #probedAt: Millis = -Infinity
  #isKeepAliveDisabled = false

  /** @param parts - parts of the gateway */
  constructor (parts: DispatcherParts) {
    this.#parts = parts
  }

  /** From now on, every response closes its connection. */
  disableKeepAlive (): void {
    this.#isKeepAliveDisabled = true
    this.#parts.offloader.allowKeepAlive(false)
  }

  /** True when the connection of a response should be closed: there are too many, or the caller's next connection can be given to a peer. */
  shouldClose (): boolean {
    const { eventLoop, random } = this.#parts
    if (this.#hasTooManyConnections) return true
    const share = offloadShare(eventLoop.recentUtilization)
    return share > 0 && this.#peers.length > 0 && random() < share
  }

  /** Refreshes what is known of the peers and the own load; called several times a second. */
  refresh (): void {
    const { eventLoop, probe, mesh, offloader, zone } = this.#parts
    const utilization = eventLoop.recentUtilization
    if (utilization >= PROBE_UTILIZATION || probe.waitMs >= PROBE_WAIT_MS) this.#probe()
    offloader.allowKeepAlive(this.#allowsKeepAlive(utilization))
    const isPressed = utilization >= MORE_LINKS_UTILIZATION
    if (!isPressed && offloader.links >= WARM_LINKS) return
    const usable = mesh.reachablePeers().filter(isUsable)
    const inZone = usable.filter(peer => peer.zone === zone)
    this.#zoneUtilization = inZone.length === 0 ? undefined : inZone.reduce((sum, peer) => sum + peer.utilization, 0) / inZone.length
    const preferred = rankForLinks(zone, usable)
    offloader.prepare(isPressed ? preferred : preferred.slice(0, WARM_LINKS), hasTimeToSpare)
    this.#peers = usable.filter(({ id }) => offloader.isLinked(id))
  }

  /**
   * Decides where a connection is served, and gives it away unless that is here.
   *
   * @returns the decision; `serve` leaves the connection to the caller of this method
   */
  dispatch (socket: Socket): ConnectionDecision {
    const decision = this.#decide()
    switch (decision.kind) {
      case 'serve': return decision
      case 'offload': return this.#parts.offloader.offload(socket, decision.peer, this.#parts.probe.minWaitMs) ? decision : { kind: 'serve' }
      case 'refuse':
        this.#refuse(socket, decision.retryAfterMs)
        return decision
      default: return assertNever(decision)
    }
  }

  /** Connections that peers serve are brought back, one response after the other, once this gateway has time for them. */
  #allowsKeepAlive (utilization: number): boolean {
    return !this.#isKeepAliveDisabled && !this.#hasTooManyConnections && utilization >= BRING_BACK_UTILIZATION
  }

  get #hasTooManyConnections (): boolean {
    return this.#parts.connections() >= this.#parts.maxConnections
  }

  #probe (): void {
    const now = this.#parts.clock.now()
    if (now - this.#probedAt < PROBE_INTERVAL_MS) return
    this.#probedAt = now
    this.#parts.probe.start()
  }

  #decide (): ConnectionDecision {
    const { zone, eventLoop, probe, random, revision } = this.#parts
    return decideConnection({ zone, zoneUtilization: this.#zoneUtilization, utilization: eventLoop.recentUtilization, listenQueueWaitMs: probe.waitMs, revision: revision(), peers: this.#peers }, random)
  }

  #refuse (socket: Socket, retryAfterMs: Millis): void {
    const { clock, headers } = this.#parts
    const linger = clock.after(LINGER_MS, () => { socket.destroy() })
    socket.on('error', () => {})
    socket.on('close', () => { linger.close() })
    socket.once('data', () => { socket.end(rawRefusal(headers, { status: 503, reason: 'overloaded', retryAfterMs })) })
  }
}

/** Full mesh between gateways: discovers peer gateways by gossip and exchanges state with each of them directly. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, createLog, EventSource, type Millis, newId, type Service, type ServiceId, type Timer, toError, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { ReachableGateway, PeerId, GatewayView, RequestLimitReport, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'
import { type WebSocket, WebSocketServer } from 'ws'
import type { ListenAddress } from '@fuchsiaworks/settings'
import { decodePeerState, encodePeerState } from './peerCodec.js'
import { PeerDialer } from './peerDialer.js'
import type { AvoidedUpstream, PeerState } from './peerTypes.js'
import { updateIntervalMs } from './updateInterval.js'

/** Interval at which the state is sent even if it has not changed. */
const HEARTBEAT_INTERVAL_MS: Millis = 600

/** Minimum interval between two updates that include the addresses of known peers. */
const ADDRESSES_INTERVAL_MS: Millis = 1000

/** A peer without an update for this long counts as unreachable. */
const PEER_TIMEOUT_MS: Millis = 2000

/** Time after its last update for which an unreachable peer still counts in `unreachableCount`; then its record is removed. */
const LOST_PEER_RETENTION_MS: Millis = 15_000

/** Time within which gateways that start together have discovered each other. */
const DISCOVERY_MS: Millis = 2000

/** Time after which a gateway that has discovered no peer operates on its own. */
const STANDALONE_AFTER_MS: Millis = 6000

/** Maximum size of a received message. */
const MAX_MESSAGE_BYTES = 1024 * 1024

const log = createLog('peers')

/** State of this gateway that is sent to peers. */
export interface LocalState {
  readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>
  readonly totals: ReadonlyMap<WorkspaceId, TokenTotals>
  readonly processedTokens: number
  readonly avoided: readonly AvoidedUpstream[]
  readonly limits: readonly RequestLimitReport[]
  readonly queueDemand: ReadonlyMap<ServiceId, number>
  /** Revision of the configuration; -1 for none. */
  readonly revision: number
}

/** Events that are sent once, with the next update. */
export type PeerEvents = Pick<PeerState, 'parts' | 'crashes' | 'sound' | 'leaving' | 'streams' | 'slowness'>

/** Supplies the state and events to send to peers. */
export interface LocalStateSource {
  read: () => LocalState
  /** Returns the share of the time for which the event loop is busy. */
  utilization: () => number
  /** Returns the events since the last call and clears them. */
  takePendingEvents: () => PeerEvents
  /** Returns recent events, for a peer to which a connection was just opened. */
  recentEvents: () => PeerEvents
}

/** A peer gateway from which updates arrive, with what its last one said. */
export interface ReachablePeer extends ReachableGateway, Pick<PeerState, 'isOutOfRotation' | 'utilization' | 'revision' | 'acceptedPerSecond'> {}

interface KnownPeer extends Omit<ReachablePeer, 'id'> {
  readonly lastReceivedAt: Millis
  isReachable: boolean
}

/** Addresses of a gateway and of its peers. */
export interface MeshOptions {
  readonly zone: ZoneId
  /** Address to listen on. */
  readonly listen: ListenAddress
  /** Address that is advertised to peers; undefined to advertise the listen address. */
  readonly advertised: string | undefined
  /** Addresses for the initial discovery; may be stale or include the gateway's own address. */
  readonly seeds: readonly string[]
  /** Called with the size of each message that is sent to a peer, and the peer's zone. */
  readonly onSent?: (zone: ZoneId, bytes: number) => void
}

/** Handles what peer gateways open on the mesh port besides the connections of the mesh. */
export interface PeerPortHandlers {
  /** Handles a plain HTTP request; returns false for an unknown one. */
  readonly onRequest: (req: IncomingMessage, res: ServerResponse) => boolean
  /** Takes the WebSockets opened with these paths. */
  readonly webSockets: ReadonlyMap<string, (socket: WebSocket, req: IncomingMessage) => void>
}

/** Connections between this gateway and its peers, and the membership derived from them. */
export class PeerMesh implements Service {
  readonly self = newId<PeerId>()
  /** State updates received from peers. */
  readonly states = new EventSource<PeerState>()
  /** Peers that became unreachable, left or were replaced by a new process on the same address. */
  readonly lost = new EventSource<PeerId>()
  readonly #dialers = new Map<string, PeerDialer>()
  readonly #peers = new Map<PeerId, KnownPeer>()
  /** Zones of the peers from which messages have arrived, by address. */
  readonly #zones = new Map<string, ZoneId>()
  readonly #server: Server
  readonly #sockets: WebSocketServer
  readonly #startedAt: Millis
  /** Sends a change once the update interval has passed; undefined while no change is pending. */
  #updateTimer: Timer | undefined
  #heartbeat: Timer | undefined
  #lastSentAt: Millis = 0
  #addressesSentAt: Millis = -Infinity
  #leaving = false
  #sentTotals = new Map<WorkspaceId, TokenTotals>()
  /** True while this gateway reports itself as not ready to the load balancer because it is overloaded. */
  isOutOfRotation = false
  /** Rate at which this gateway accepts connections of callers. */
  acceptedPerSecond = 0

  /**
   * @param clock - source of time
   * @param options - own addresses and those for discovery
   * @param localState - supplies what is sent to peers
   * @param handlers - handle what is not for the mesh
   */
  constructor (readonly clock: Clock, readonly options: MeshOptions, readonly localState: LocalStateSource, handlers: PeerPortHandlers) {
    this.#startedAt = clock.now()
    this.#server = createServer((req, res) => { this.#handleRequest(handlers, req, res) })
    this.#sockets = new WebSocketServer({ server: this.#server, maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false })
    this.#sockets.on('connection', (socket, req) => {
      const take = handlers.webSockets.get(req.url ?? '')
      if (take === undefined) this.#accept(socket)
      else take(socket, req)
    })
  }

  get #address (): string {
    const { advertised, listen } = this.options
    return advertised ?? `${listen.host}:${listen.port}`
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.options.listen.port, this.options.listen.host, resolve)
    })
    for (const seed of this.options.seeds) this.#dial(seed)
    this.#heartbeat = this.clock.every(HEARTBEAT_INTERVAL_MS, () => { this.#onHeartbeat() })
  }

  /** Schedules an update to all peers; calls before it is sent are merged into one. */
  scheduleUpdate (): void {
    if (this.#updateTimer !== undefined) return
    const intervalMs = updateIntervalMs(this.#peers.size, this.localState.utilization())
    const delayMs = Math.max(0, this.#lastSentAt + intervalMs - this.clock.now())
    this.#updateTimer = this.clock.after(delayMs, () => { this.#broadcast() })
  }

  /** Announces to all peers that this gateway shuts down. */
  broadcastLeaving (): void {
    this.#leaving = true
    this.#broadcast()
  }

  close (): void {
    this.#updateTimer?.close()
    this.#heartbeat?.close()
    for (const dialer of this.#dialers.values()) dialer.close()
    for (const socket of this.#sockets.clients) socket.terminate()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Membership as this gateway sees it. */
  view (): GatewayView {
    const now = this.clock.now()
    const reachable = [...this.#peers].filter(([, peer]) => peer.isReachable).map(([id]) => id)
    const age = now - this.#startedAt
    const settled = age >= STANDALONE_AFTER_MS || (age >= DISCOVERY_MS && reachable.length > 0)
    return { self: this.self, reachable, unreachableCount: this.#peers.size - reachable.length, settled }
  }

  /** Reachable peers with their zones and addresses. */
  reachablePeers (): ReachablePeer[] {
    return [...this.#peers].filter(([, { isReachable }]) => isReachable).map(([id, { zone, address, isOutOfRotation, utilization, revision, acceptedPerSecond }]) => ({ id, zone, address, isOutOfRotation, utilization, revision, acceptedPerSecond }))
  }

  #dial (address: string): void {
    if (address === this.#address || this.#dialers.has(address)) return
    this.#dialers.set(address, new PeerDialer(address, this.clock, dialer => { dialer.send(this.#encode(this.localState.read(), this.localState.recentEvents())) }, bytes => { this.#recordSent(address, bytes) }))
  }

  #recordSent (address: string, bytes: number): void {
    const zone = this.#zones.get(address)
    if (zone !== undefined) this.options.onSent?.(zone, bytes)
  }

  /** An exception, for example on a target that is no URL, must not end the process. */
  #handleRequest (handlers: PeerPortHandlers, req: IncomingMessage, res: ServerResponse): void {
    try {
      if (!handlers.onRequest(req, res)) res.writeHead(426).end()
    } catch (err) {
      log.warn('request at the port for peer gateways rejected', { reason: toError(err).message })
      if (!res.headersSent) res.writeHead(400)
      res.end()
    }
  }

  #accept (socket: WebSocket): void {
    let peer: PeerId | undefined
    socket.on('error', err => { log.debug('connection from a peer gateway failed', { reason: err.message }) })
    socket.on('message', data => {
      try {
        const state = decodePeerState(data as Buffer)
        peer = state.peer
        this.#receive(state)
      } catch (err) {
        log.warn('message from a peer gateway rejected', { reason: toError(err).message, peer: peer ?? 'unknown' })
        socket.close()
      }
    })
  }

  #receive (state: PeerState): void {
    if (state.peer === this.self) return
    const known = this.#peers.get(state.peer)
    if (known?.isReachable !== true) log.info('peer gateway reachable', { peer: state.peer, address: state.address })
    if (known?.address !== state.address) {
      for (const [id, peer] of this.#peers) if (id !== state.peer && peer.address === state.address) this.#removePeer(id)
      this.#zones.set(state.address, state.zone)
      this.#dial(state.address)
    }
    for (const address of state.addresses) this.#dial(address)
    this.states.emit(state)
    if (state.isLeaving) return this.#removePeer(state.peer)
    const { address, zone, isOutOfRotation, utilization, revision, acceptedPerSecond } = state
    this.#peers.set(state.peer, { lastReceivedAt: this.clock.now(), isReachable: true, address, zone, isOutOfRotation, utilization, revision, acceptedPerSecond })
  }

  /** Removes a peer that left, or whose address is now used by a new process. */
  #removePeer (id: PeerId): void {
    if (!this.#peers.delete(id)) return
    this.lost.emit(id)
  }

  #onHeartbeat (): void {
    const now = this.clock.now()
    for (const [id, peer] of this.#peers) this.#checkReachable(id, peer, now)
    if (now - this.#lastSentAt >= HEARTBEAT_INTERVAL_MS / 2) this.#broadcast()
  }

  #checkReachable (id: PeerId, peer: KnownPeer, now: Millis): void {
    const silenceMs = now - peer.lastReceivedAt
    if (silenceMs > LOST_PEER_RETENTION_MS) this.#peers.delete(id)
    if (!peer.isReachable || silenceMs <= PEER_TIMEOUT_MS) return
    peer.isReachable = false
    log.warn('peer gateway unreachable: no update received', { peer: id, silenceMs: Math.round(silenceMs) })
    this.lost.emit(id)
  }

  #broadcast (): void {
    this.#lastSentAt = this.clock.now()
    this.#updateTimer?.close()
    this.#updateTimer = undefined
    if (this.#dialers.size === 0) return
    const state = this.localState.read()
    const changed = new Map([...state.totals].filter(([id, { requested, served }]) => {
      const sent = this.#sentTotals.get(id)
      return sent === undefined || sent.requested !== requested || sent.served !== served
    }))
    for (const [id, { requested, served }] of changed) this.#sentTotals.set(id, { requested, served })
    const bytes = this.#encode({ ...state, totals: changed }, this.localState.takePendingEvents())
    for (const dialer of this.#dialers.values()) dialer.send(bytes)
  }

  /** Known addresses, when they are due to be sent; they are many and change rarely, so most updates omit them. */
  #dueAddresses (): string[] {
    const now = this.clock.now()
    if (now - this.#addressesSentAt < ADDRESSES_INTERVAL_MS) return []
    this.#addressesSentAt = now
    return [...this.#peers.values()].filter(peer => peer.isReachable).map(peer => peer.address)
  }

  #encode (state: LocalState, events: PeerEvents): Buffer {
    const addresses = this.#dueAddresses()
    return encodePeerState({ peer: this.self, address: this.#address, zone: this.options.zone, isLeaving: this.#leaving, isOutOfRotation: this.isOutOfRotation, acceptedPerSecond: this.acceptedPerSecond, utilization: this.localState.utilization(), addresses, ...state, ...events })
  }
}

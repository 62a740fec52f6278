/** Finds the other routers and exchanges states with each of them, directly. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, createLog, EventSource, type Millis, newId, type Service, type Timer, toError, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { Neighbour, PeerId, RouterView, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'
import { type WebSocket, WebSocketServer } from 'ws'
import type { ListenAddress } from '@fuchsiaworks/settings'
import { decodePeerState, encodePeerState } from './peerCodec.js'
import { PeerDialer } from './peerDialer.js'
import type { AvoidedUpstream, PeerState } from './peerTypes.js'

/** Milliseconds between two states for each known router: more routers tell less often, so that the messages a router reads stay bounded. */
const UPDATE_INTERVAL_PER_PEER_MS = 3

/** Bounds of the time between two states, in milliseconds. */
const UPDATE_INTERVAL_MS = { min: 40, max: 420 } as const

/** Milliseconds after which a state is sent although nothing changed. */
const HEARTBEAT_INTERVAL_MS: Millis = 600

/** Milliseconds between two messages that name the addresses of other routers. */
const ADDRESSES_INTERVAL_MS: Millis = 1000

/** Milliseconds without a state after which a router counts as out of sight. */
const PEER_TIMEOUT_MS: Millis = 2000

/** Milliseconds for which a router that went out of sight is remembered as lost. */
const LOST_PEER_RETENTION_MS: Millis = 15_000

/** Milliseconds within which routers that start together have found each other. */
const DISCOVERY_MS: Millis = 2000

/** Milliseconds after which a router that has found no other works alone. */
const STANDALONE_AFTER_MS: Millis = 6000

/** Messages longer than this are refused. */
const MAX_MESSAGE_BYTES = 1024 * 1024

const log = createLog('peers')

/** What this router tells of itself. */
export interface LocalState {
  readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>
  readonly totals: ReadonlyMap<WorkspaceId, TokenTotals>
  readonly avoided: readonly AvoidedUpstream[]
}

/** What is sent once. */
export type PeerEvents = Pick<PeerState, 'parts' | 'crashes'>

/** Reads what this router has to tell. */
export interface LocalStateSource {
  read: () => LocalState
  /** Hands over what has happened since the last call. */
  takePendingEvents: () => PeerEvents
  /** What happened of late, for a router that has just come into sight. */
  recentEvents: () => PeerEvents
}

interface KnownPeer {
  lastReceivedAt: Millis
  isReachable: boolean
  address: string
  zone: ZoneId
  isOutOfRotation: boolean
}

/** A router in sight. */
export interface ReachablePeer extends Neighbour {
  /** True when it has taken itself out of the balancer's choice. */
  readonly isOutOfRotation: boolean
}

/** Where a router is found. */
export interface MeshOptions {
  readonly zone: ZoneId
  /** Own address. */
  readonly listen: ListenAddress
  /** The address that other routers are sent; undefined for the own one. */
  readonly advertised: string | undefined
  /** Addresses of other routers, perhaps stale, perhaps this one's own. */
  readonly seeds: readonly string[]
}

/** Answers requests of other routers that are no links; false when it does not know them. */
export type PeerRequestHandler = (req: IncomingMessage, res: ServerResponse) => boolean

/** The links between routers. */
export class PeerMesh implements Service {
  readonly self = newId<PeerId>()
  /** States of other routers as they arrive. */
  readonly states = new EventSource<PeerState>()
  /** Routers that went out of sight or left. */
  readonly lost = new EventSource<PeerId>()
  readonly #dialers = new Map<string, PeerDialer>()
  readonly #peers = new Map<PeerId, KnownPeer>()
  readonly #server: Server
  readonly #sockets: WebSocketServer
  readonly #startedAt: Millis
  /** Tells a change once the period since the last message is over; undefined while there is no change. */
  #updateTimer: Timer | undefined
  #heartbeat: Timer | undefined
  #lastSentAt: Millis = 0
  #addressesSentAt: Millis = -Infinity
  #leaving = false
  #sentTotals = new Map<WorkspaceId, TokenTotals>()
  /** True while this router has taken itself out of the balancer's choice. */
  isOutOfRotation = false

  /**
   * @param clock - source of time
   * @param options - where this router is and where it finds others
   * @param localState - reads what is to be sent
   * @param handleRequest - answers requests that are no links
   */
  constructor (readonly clock: Clock, readonly options: MeshOptions, readonly localState: LocalStateSource, handleRequest: PeerRequestHandler) {
    this.#startedAt = clock.now()
    this.#server = createServer((req, res) => { if (!handleRequest(req, res)) res.writeHead(426).end() })
    this.#sockets = new WebSocketServer({ server: this.#server, maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false })
    this.#sockets.on('connection', socket => { this.#accept(socket) })
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

  /** Says that there is something new to tell. */
  scheduleUpdate (): void {
    if (this.#updateTimer !== undefined) return
    const period = Math.min(UPDATE_INTERVAL_MS.max, Math.max(UPDATE_INTERVAL_MS.min, this.#peers.size * UPDATE_INTERVAL_PER_PEER_MS))
    const wait = Math.max(0, this.#lastSentAt + period - this.clock.now())
    this.#updateTimer = this.clock.after(wait, () => { this.#broadcast() })
  }

  /** Tells the others that this router ends. */
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

  /** @returns the routers that this one knows */
  view (): RouterView {
    const now = this.clock.now()
    const reachable = [...this.#peers].filter(([, peer]) => peer.isReachable).map(([id]) => id)
    const age = now - this.#startedAt
    const settled = age >= STANDALONE_AFTER_MS || (age >= DISCOVERY_MS && reachable.length > 0)
    return { self: this.self, reachable, lost: this.#peers.size - reachable.length, settled }
  }

  /** @returns the routers in sight, with where they are */
  reachablePeers (): ReachablePeer[] {
    return [...this.#peers].filter(([, { isReachable }]) => isReachable).map(([id, { zone, address, isOutOfRotation }]) => ({ id, zone, address, isOutOfRotation }))
  }

  #dial (address: string): void {
    if (address === this.#address || this.#dialers.has(address)) return
    this.#dialers.set(address, new PeerDialer(address, this.clock, dialer => { dialer.send(this.#encode(this.localState.read(), this.localState.recentEvents())) }))
  }

  #accept (socket: WebSocket): void {
    let peer: PeerId | undefined
    socket.on('error', err => { log.debug('connection of another router failed', { reason: err.message }) })
    socket.on('message', data => {
      try {
        const state = decodePeerState(data as Buffer)
        peer = state.peer
        this.#receive(state)
      } catch (err) {
        log.warn('a message of another router was refused', { reason: toError(err).message, peer: peer ?? 'unknown' })
        socket.close()
      }
    })
  }

  #receive (state: PeerState): void {
    if (state.peer === this.self) return
    const known = this.#peers.get(state.peer)
    if (known?.isReachable !== true) log.info('another router is in sight', { peer: state.peer, address: state.address })
    for (const [id, peer] of this.#peers) if (id !== state.peer && peer.address === state.address) this.#removePeer(id)
    this.#dial(state.address)
    for (const address of state.addresses) this.#dial(address)
    this.states.emit(state)
    if (state.isLeaving) this.#removePeer(state.peer)
    else this.#peers.set(state.peer, { lastReceivedAt: this.clock.now(), isReachable: true, address: state.address, zone: state.zone, isOutOfRotation: state.isOutOfRotation })
  }

  /** Ends the record of a router that left, or whose successor listens on its address. */
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
    log.warn('another router went out of sight', { peer: id, silenceMs: Math.round(silenceMs) })
    this.lost.emit(id)
  }

  #broadcast (): void {
    this.#lastSentAt = this.clock.now()
    this.#updateTimer?.close()
    this.#updateTimer = undefined
    if (this.#dialers.size === 0) return
    const state = this.localState.read()
    const changed = new Map([...state.totals].filter(([id, { asked, served }]) => {
      const sent = this.#sentTotals.get(id)
      return sent === undefined || sent.asked !== asked || sent.served !== served
    }))
    for (const [id, { asked, served }] of changed) this.#sentTotals.set(id, { asked, served })
    const bytes = this.#encode({ ...state, totals: changed }, this.localState.takePendingEvents())
    for (const dialer of this.#dialers.values()) dialer.send(bytes)
  }

  /** Addresses are sent now and then only, as they are many and seldom news. */
  #dueAddresses (): string[] {
    const now = this.clock.now()
    if (now - this.#addressesSentAt < ADDRESSES_INTERVAL_MS) return []
    this.#addressesSentAt = now
    return [...this.#peers.values()].filter(peer => peer.isReachable).map(peer => peer.address)
  }

  #encode (state: LocalState, events: PeerEvents): Buffer {
    const addresses = this.#dueAddresses()
    return encodePeerState({ peer: this.self, address: this.#address, zone: this.options.zone, isLeaving: this.#leaving, isOutOfRotation: this.isOutOfRotation, addresses, ...state, ...events })
  }
}

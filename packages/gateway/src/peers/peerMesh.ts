/** Finds the other routers and exchanges states with each of them, directly. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, createLog, EventSource, type Millis, newId, type Service, type Timer, toError, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { ReachableRouter, PeerId, RouterView, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'
import { type WebSocket, WebSocketServer } from 'ws'
import type { ListenAddress } from '@fuchsiaworks/settings'
import { decodePeerState, encodePeerState } from './peerCodec.js'
import { PeerDialer } from './peerDialer.js'
import type { AvoidedUpstream, PeerState } from './peerTypes.js'

/** Milliseconds between two states for each known router: more routers tell less often, so that the messages a router reads stay bounded. */
const PERIOD_BY_ROUTER_MS = 3

/** Bounds of the time between two states, in milliseconds. */
const PERIOD_MS = { min: 40, max: 420 } as const

/** Milliseconds after which a state is told although nothing changed. */
const HEARTBEAT_MS: Millis = 600

/** Milliseconds between two messages that name the addresses of other routers. */
const ADDRESSES_MS: Millis = 1000

/** Milliseconds without a state after which a router counts as out of sight. */
const SILENT_AFTER_MS: Millis = 2000

/** Milliseconds for which a router that went out of sight is remembered as lost. */
const LOST_MS: Millis = 15_000

/** Milliseconds within which routers that start together have found each other. */
const SETTLE_MS: Millis = 2000

/** Milliseconds after which a router that has found no other works alone. */
const ALONE_MS: Millis = 6000

/** Messages longer than this are refused. */
const MAX_MESSAGE_BYTES = 1024 * 1024

const log = createLog('peers')

/** What this router tells of itself. */
export interface OwnState {
  readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>
  readonly totals: ReadonlyMap<WorkspaceId, TokenTotals>
  readonly avoided: readonly AvoidedUpstream[]
}

/** What is told once. */
export type MeshNews = Pick<PeerState, 'parts' | 'crashes'>

/** Reads what this router has to tell. */
export interface OwnStateSource {
  read: () => OwnState
  /** Hands over what has happened since the last call. */
  takeNews: () => MeshNews
  /** What happened of late, for a router that has just come into sight. */
  recentNews: () => MeshNews
}

interface KnownPeer {
  heardAt: Millis
  inSight: boolean
  address: string
  zone: ZoneId
  isOut: boolean
}

/** A router in sight. */
export interface SeenRouter extends ReachableRouter {
  /** True when it has taken itself out of the balancer's choice. */
  readonly isOut: boolean
}

/** Where a router is found. */
export interface MeshPlace {
  readonly zone: ZoneId
  /** Own address. */
  readonly listen: ListenAddress
  /** The address that other routers are told; undefined for the own one. */
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
  #changeTimer: Timer | undefined
  #heartbeat: Timer | undefined
  #toldAt: Millis = 0
  #addressesToldAt: Millis = -Infinity
  #leaving = false
  #totalsTold = new Map<WorkspaceId, TokenTotals>()
  /** True while this router has taken itself out of the balancer's choice. */
  isOut = false

  /**
   * @param clock - source of time
   * @param place - where this router is and where it finds others
   * @param own - reads what is to be told
   * @param answer - answers requests that are no links
   */
  constructor (readonly clock: Clock, readonly place: MeshPlace, readonly own: OwnStateSource, answer: PeerRequestHandler) {
    this.#startedAt = clock.now()
    this.#server = createServer((req, res) => { if (!answer(req, res)) res.writeHead(426).end() })
    this.#sockets = new WebSocketServer({ server: this.#server, maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false })
    this.#sockets.on('connection', socket => { this.#accept(socket) })
  }

  get #address (): string {
    const { advertised, listen } = this.place
    return advertised ?? `${listen.host}:${listen.port}`
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.place.listen.port, this.place.listen.host, resolve)
    })
    for (const seed of this.place.seeds) this.#dial(seed)
    this.#heartbeat = this.clock.every(HEARTBEAT_MS, () => { this.#beat() })
  }

  /** Says that there is something new to tell. */
  touch (): void {
    if (this.#changeTimer !== undefined) return
    const period = Math.min(PERIOD_MS.max, Math.max(PERIOD_MS.min, this.#peers.size * PERIOD_BY_ROUTER_MS))
    const wait = Math.max(0, this.#toldAt + period - this.clock.now())
    this.#changeTimer = this.clock.after(wait, () => { this.#tell() })
  }

  /** Tells the others that this router ends. */
  leave (): void {
    this.#leaving = true
    this.#tell()
  }

  close (): void {
    this.#changeTimer?.close()
    this.#heartbeat?.close()
    for (const dialer of this.#dialers.values()) dialer.close()
    for (const socket of this.#sockets.clients) socket.terminate()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** @returns the routers that this one knows */
  view (): RouterView {
    const now = this.clock.now()
    const reachable = [...this.#peers].filter(([, peer]) => peer.inSight).map(([id]) => id)
    const age = now - this.#startedAt
    const settled = age >= ALONE_MS || (age >= SETTLE_MS && reachable.length > 0)
    return { self: this.self, reachable, unreachableCount: this.#peers.size - reachable.length, settled }
  }

  /** @returns the routers in sight, with where they are */
  neighbours (): SeenRouter[] {
    return [...this.#peers].filter(([, { inSight }]) => inSight).map(([id, { zone, address, isOut }]) => ({ id, zone, address, isOut }))
  }

  #dial (address: string): void {
    if (address === this.#address || this.#dialers.has(address)) return
    this.#dialers.set(address, new PeerDialer(address, this.clock, dialer => { dialer.send(this.#encode(this.own.read(), this.own.recentNews())) }))
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
    if (known?.inSight !== true) log.info('another router is in sight', { peer: state.peer, address: state.address })
    for (const [id, peer] of this.#peers) if (id !== state.peer && peer.address === state.address) this.#forget(id)
    this.#dial(state.address)
    for (const address of state.addresses) this.#dial(address)
    this.states.emit(state)
    if (state.isLeaving) this.#forget(state.peer)
    else this.#peers.set(state.peer, { heardAt: this.clock.now(), inSight: true, address: state.address, zone: state.zone, isOut: state.isOut })
  }

  /** Ends the record of a router that left, or whose successor listens on its address. */
  #forget (id: PeerId): void {
    if (!this.#peers.delete(id)) return
    this.lost.emit(id)
  }

  #beat (): void {
    const now = this.clock.now()
    for (const [id, peer] of this.#peers) this.#checkSight(id, peer, now)
    if (now - this.#toldAt >= HEARTBEAT_MS / 2) this.#tell()
  }

  #checkSight (id: PeerId, peer: KnownPeer, now: Millis): void {
    const silence = now - peer.heardAt
    if (silence > LOST_MS) this.#peers.delete(id)
    if (!peer.inSight || silence <= SILENT_AFTER_MS) return
    peer.inSight = false
    log.warn('another router went out of sight', { peer: id, silenceMs: Math.round(silence) })
    this.lost.emit(id)
  }

  #tell (): void {
    this.#toldAt = this.clock.now()
    this.#changeTimer?.close()
    this.#changeTimer = undefined
    if (this.#dialers.size === 0) return
    const own = this.own.read()
    const changed = new Map([...own.totals].filter(([id, { requested: asked, served }]) => {
      const told = this.#totalsTold.get(id)
      return told === undefined || told.requested !== asked || told.served !== served
    }))
    for (const [id, { requested: asked, served }] of changed) this.#totalsTold.set(id, { requested: asked, served })
    const bytes = this.#encode({ ...own, totals: changed }, this.own.takeNews())
    for (const dialer of this.#dialers.values()) dialer.send(bytes)
  }

  /** Addresses are told now and then only, as they are many and seldom news. */
  #takeAddresses (): string[] {
    const now = this.clock.now()
    if (now - this.#addressesToldAt < ADDRESSES_MS) return []
    this.#addressesToldAt = now
    return [...this.#peers.values()].filter(peer => peer.inSight).map(peer => peer.address)
  }

  #encode (own: OwnState, news: MeshNews): Buffer {
    const addresses = this.#takeAddresses()
    return encodePeerState({ peer: this.self, address: this.#address, zone: this.place.zone, isLeaving: this.#leaving, isOut: this.isOut, addresses, ...own, ...news })
  }
}

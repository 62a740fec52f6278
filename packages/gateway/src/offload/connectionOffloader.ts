/** Gives connections of callers to peer gateways and passes their bytes on; keeps the links to those peers. */
import type { Socket } from 'node:net'
import { assertNever, type Clock, createLog, type Millis, type Service, type Timer, type ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId } from '@fuchsiaworks/policy'
import WebSocket from 'ws'
import { ListenQueueWait } from '../callers/listenQueueWait.js'
import type { ReachablePeer } from '../peers/peerMesh.js'
import type { HeaderPort } from '../port/headerPort.js'
import { OffloadedCaller } from './offloadedCaller.js'
import { OffloadLink } from './offloadLink.js'
import { type ConnectionNumber, OFFLOAD_PATH, OFFLOADING_HOST_HEADER, type OffloadFrame } from './offloadTypes.js'

/** Time for which parts of requests are collected. */
const BATCH_MS: Millis = 1

const CONNECT_TIMEOUT_MS = 1000

/** Links that are kept at the same time: enough for the peers of one zone of three in a fleet of 22, and for some of the other zones. */
const MAX_LINKS = 12

/** Time without new connections after which an empty link to a busy peer gives way to one to a peer with time. */
const REPLACE_LINK_MS: Millis = 1000

/** Time without connections after which a link is closed, while there are more than the given number. */
const IDLE_LINK_MS: Millis = 15_000
const KEPT_LINKS = 2

const IDLE_CHECK_INTERVAL_MS: Millis = 5000

const log = createLog('offload')

/** Connection to one peer. */
interface PeerLink {
  readonly address: string
  /** Undefined until the link is open. */
  link: OffloadLink | undefined
  readonly callers: Map<ConnectionNumber, OffloadedCaller>
  lastUsedAt: Millis
}

/** Offloads connections. */
export class ConnectionOffloader implements Service {
  readonly #clock: Clock
  readonly #headers: HeaderPort
  readonly #onMessage: (zone: ZoneId, bytes: number) => void
  readonly #host: string
  readonly #links = new Map<PeerId, PeerLink>()
  #nextConnection: ConnectionNumber = 1
  #idleTimer: Timer | undefined
  #isKeepAliveAllowed = true

  /**
   * @param clock - source of time
   * @param headers - encodes refusals
   * @param host - name of this host, for the log of peers
   * @param onMessage - called with the zone of the peer and the size of each message on its link
   */
  constructor (clock: Clock, headers: HeaderPort, host: string, onMessage: (zone: ZoneId, bytes: number) => void = () => {}) {
    this.#onMessage = onMessage
    this.#host = host
    this.#clock = clock
    this.#headers = headers
  }

  /** Connections that peers serve for this gateway. */
  get size (): number {
    return [...this.#links.values()].reduce((sum, { callers }) => sum + callers.size, 0)
  }

  /** Links that are open or being opened. */
  get links (): number {
    return this.#links.size
  }

  start (): void {
    this.#idleTimer = this.#clock.every(IDLE_CHECK_INTERVAL_MS, () => { this.#closeIdleLinks() })
  }

  /**
   * Opens links to peers, the first ones first, so that connections can be given to them later. When there are as many links as are kept, only an
   * empty link to a busy peer gives way, and only to a peer with time: loads change all the time, and a new link costs as much as a request.
   *
   * @param peers - all peers, the most useful first
   * @param hasTime - returns whether a peer has time for connections
   */
  prepare <T extends ReachablePeer>(peers: readonly T[], hasTime: (peer: T) => boolean): void {
    for (const peer of peers.slice(0, MAX_LINKS)) {
      if (this.#links.has(peer.id)) continue
      if (this.#links.size >= MAX_LINKS && !(hasTime(peer) && this.#closeBusyLink(peers, hasTime))) return
      this.#dial(peer.id, peer.address, peer.zone)
    }
  }

  /** @returns false when there is no link that may give way */
  #closeBusyLink <T extends ReachablePeer>(peers: readonly T[], hasTime: (peer: T) => boolean): boolean {
    const now = this.#clock.now()
    for (const [id, { link, callers, lastUsedAt }] of this.#links) {
      const peer = peers.find(one => one.id === id)
      if (link === undefined || callers.size > 0 || now - lastUsedAt < REPLACE_LINK_MS || (peer !== undefined && hasTime(peer))) continue
      this.#links.delete(id)
      link.close()
      return true
    }
    return false
  }

  /** True when a connection can be given to the peer now. */
  isLinked (peer: PeerId): boolean {
    return this.#links.get(peer)?.link !== undefined
  }

  /**
   * Gives a connection to a peer.
   *
   * @param waitedMs - time for which the connection has waited in the listen queue at least
   * @returns false when there is no open link to it
   */
  offload (socket: Socket, peer: PeerId, waitedMs: Millis): boolean {
    const entry = this.#links.get(peer)
    if (entry?.link === undefined) return false
    const connection = this.#nextConnection++
    entry.lastUsedAt = this.#clock.now()
    entry.callers.set(connection, new OffloadedCaller({ clock: this.#clock, socket, link: entry.link, connection, headers: this.#headers, wait: new ListenQueueWait(this.#clock, waitedMs) }, () => { entry.callers.delete(connection) }))
    return true
  }

  /** Sets whether further responses leave their connections open. */
  allowKeepAlive (isAllowed: boolean): void {
    if (isAllowed === this.#isKeepAliveAllowed) return
    this.#isKeepAliveAllowed = isAllowed
    this.#broadcast({ kind: 'keep-alive', isAllowed })
  }

  /** Closes connections without a request; the others end with their responses. */
  closeIdleConnections (): void {
    this.#broadcast({ kind: 'close-idle' })
  }

  close (): void {
    this.#idleTimer?.close()
    for (const { link } of this.#links.values()) link?.close()
  }

  #broadcast (frame: OffloadFrame): void {
    for (const { link } of this.#links.values()) link?.send(frame)
  }

  #dial (peer: PeerId, address: string, zone: ZoneId): void {
    const entry: PeerLink = { address, link: undefined, callers: new Map(), lastUsedAt: this.#clock.now() }
    this.#links.set(peer, entry)
    // Masking protects intermediaries that don't know WebSockets; between two gateways there are none, and it costs time for each byte.
    const socket = new WebSocket(`ws://${address}${OFFLOAD_PATH}`, { headers: { [OFFLOADING_HOST_HEADER]: this.#host }, handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, generateMask: mask => { mask.fill(0) } })
    socket.on('open', () => {
      entry.link = new OffloadLink(this.#clock, socket, BATCH_MS, {
        onFrame: frame => { this.#receive(entry, frame) },
        onMessage: bytes => { this.#onMessage(zone, bytes) },
        isInUse: () => entry.callers.size > 0,
        onClose: () => { this.#onClose(peer, entry) }
      })
      if (!this.#isKeepAliveAllowed) entry.link.send({ kind: 'keep-alive', isAllowed: false })
      log.info('offload link open', { peer, address })
    })
    socket.on('error', err => {
      log.warn('offload link failed', { peer, address, reason: err.message })
      if (entry.link === undefined) this.#links.delete(peer)
    })
  }

  #onClose (peer: PeerId, entry: PeerLink): void {
    // A link that has given way may have been opened again before its close was reported.
    if (this.#links.get(peer) === entry) this.#links.delete(peer)
    entry.link = undefined
    log.info('offload link closed', { peer, address: entry.address, connections: entry.callers.size })
    for (const caller of entry.callers.values()) caller.fail()
  }

  #receive ({ callers }: PeerLink, frame: OffloadFrame): void {
    switch (frame.kind) {
      case 'data': return callers.get(frame.connection)?.receive(frame.bytes)
      case 'end': return callers.get(frame.connection)?.receiveEnd()
      case 'close': return callers.get(frame.connection)?.receiveClose(frame.isIdle)
      case 'credit': return callers.get(frame.connection)?.receiveCredit(frame.bytes)
      case 'open':
      case 'keep-alive':
      case 'close-idle': return
      default: assertNever(frame)
    }
  }

  #closeIdleLinks (): void {
    const now = this.#clock.now()
    const idle = [...this.#links.values()].filter(({ callers, lastUsedAt }) => callers.size === 0 && now - lastUsedAt > IDLE_LINK_MS)
    for (const { link } of idle.slice(0, Math.max(0, this.#links.size - KEPT_LINKS))) link?.close()
  }
}

/** Serves connections that peer gateways have accepted. */
import { assertNever, type Clock, type Millis, type Service } from '@fuchsiaworks/kernel'
import type { WebSocket } from 'ws'
import { LinkDelay } from './linkDelay.js'
import { OffloadedSocket } from './offloadedSocket.js'
import { OffloadLink } from './offloadLink.js'
import type { ConnectionNumber, OffloadFrame } from './offloadTypes.js'

/**
 * Time for which parts of responses are collected: each batch costs the peer, which is short of time, a write for each connection. Short
 * compared to the pause between two events that callers accept. The end of a response is sent without this delay.
 */
const BATCH_MS: Millis = 60

/** Link from one peer with the connections that it has passed on. */
interface ReceivingLink {
  /** Host of the peer. */
  readonly host: string
  readonly sockets: Map<ConnectionNumber, OffloadedSocket>
  readonly delay: LinkDelay
  link: OffloadLink | undefined
  isKeepAliveAllowed: boolean
  isStopping: boolean
}

/** Accepts links. */
export class OffloadReceiver implements Service {
  readonly #clock: Clock
  readonly #serve: (socket: OffloadedSocket) => void
  readonly #links = new Set<ReceivingLink>()

  /**
   * @param clock - source of time
   * @param serve - serves a connection
   */
  constructor (clock: Clock, serve: (socket: OffloadedSocket) => void) {
    this.#clock = clock
    this.#serve = serve
  }

  /** Connections of peers that this gateway serves. */
  get size (): number {
    return [...this.#links].reduce((sum, { sockets }) => sum + sockets.size, 0)
  }

  /**
   * Accepts the link of a peer.
   *
   * @param webSocket - open WebSocket
   * @param host - host of the peer, for the log
   */
  accept (webSocket: WebSocket, host = 'unknown'): void {
    const entry: ReceivingLink = { host, sockets: new Map(), delay: new LinkDelay(), link: undefined, isKeepAliveAllowed: true, isStopping: false }
    this.#links.add(entry)
    entry.link = new OffloadLink(this.#clock, webSocket, BATCH_MS, {
      onFrame: frame => { this.#receive(entry, frame) },
      isInUse: () => entry.sockets.size > 0,
      onClose: () => {
        this.#links.delete(entry)
        for (const socket of entry.sockets.values()) socket.destroy()
      }
    })
  }

  close (): void {
    for (const { link } of this.#links) link?.close()
  }

  #receive (entry: ReceivingLink, frame: OffloadFrame): void {
    const { sockets } = entry
    switch (frame.kind) {
      case 'open': return this.#open(entry, frame.connection)
      case 'data': {
        const delayMs = frame.readAt === undefined ? 0 : entry.delay.record(frame.readAt, this.#clock.now())
        return sockets.get(frame.connection)?.receive(frame.bytes, frame.unreadMs + delayMs)
      }
      case 'end': return sockets.get(frame.connection)?.receiveEnd()
      case 'close': {
        sockets.get(frame.connection)?.destroy()
        return
      }
      case 'credit': return sockets.get(frame.connection)?.receiveCredit(frame.bytes)
      case 'keep-alive':
        entry.isKeepAliveAllowed = frame.isAllowed
        for (const socket of sockets.values()) socket.isKeepAliveAllowed = frame.isAllowed
        return
      case 'close-idle':
        entry.isStopping = true
        for (const socket of sockets.values()) {
          socket.isStopping = true
          if (socket.isIdle) socket.destroySoon()
        }
        return
      default: assertNever(frame)
    }
  }

  #open ({ host, link, sockets, isKeepAliveAllowed, isStopping }: ReceivingLink, connection: ConnectionNumber): void {
    if (link === undefined) return
    const socket = new OffloadedSocket(this.#clock, link, connection, host)
    socket.isKeepAliveAllowed = isKeepAliveAllowed
    socket.isStopping = isStopping
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(connection) })
    sockets.set(connection, socket)
    this.#serve(socket)
  }
}

/** An HTTP server on loopback whose port can be shut and opened again while its process lives. */
import { type RequestListener, type Server, createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Address on which every stand-in listens. */
export const LOOPBACK = '127.0.0.1'

/** Milliseconds for which an idle connection is kept, longer than any client's own limit. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000

/** An HTTP server that can refuse and drop connections on demand. */
export class SwitchableServer {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #port: number

  private constructor (listener: RequestListener, port: number) {
    this.#port = port
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requestTimeout: 0 }, listener)
    this.#server.on('connection', socket => { this.#trackSocket(socket) })
  }

  /**
   * Opens a server.
   *
   * @param listener - answers the requests
   * @param port - the port, or 0 to take a free one
   * @returns the listening server
   */
  static async open (listener: RequestListener, port: number): Promise<SwitchableServer> {
    const server = new SwitchableServer(listener, port)
    await server.listen()
    return server
  }

  /** Base address of the server. */
  get url (): string {
    return `http://${LOOPBACK}:${this.#port}`
  }

  /** Connections that are open now. */
  get connections (): number {
    return this.#sockets.size
  }

  /** Opens the port again after `shut`. */
  async listen (): Promise<void> {
    if (this.#server.listening) return
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, LOOPBACK, resolve)
    })
    this.#port = (this.#server.address() as AddressInfo).port
  }

  /** Refuses new connections and drops the open ones. */
  takeOffline (): void {
    this.#server.close()
    this.dropConnections()
  }

  /** Drops every open connection in the middle of what it carries. */
  dropConnections (): void {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  async close (): Promise<void> {
    if (!this.#server.listening) return
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  #trackSocket (socket: Socket): void {
    socket.setNoDelay(true)
    this.#sockets.add(socket)
    socket.once('close', () => { this.#sockets.delete(socket) })
  }
}

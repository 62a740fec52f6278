/** An HTTP server on loopback whose port can be closed and opened again while the process runs. */
import { type RequestListener, type Server, createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { resetSocket } from './resetSocket.js'

/** Address that all stand-ins listen on. */
export const LOOPBACK = '127.0.0.1'

/** Longer than the idle timeout of any client, so that the server never closes a connection that a client is about to reuse. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000

/** An HTTP server that can refuse new connections and reset open ones on demand. */
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
   * Starts a server.
   *
   * @param listener - handles the requests
   * @param port - the port, or 0 for a free one
   * @returns the listening server
   */
  static async open (listener: RequestListener, port: number): Promise<SwitchableServer> {
    const server = new SwitchableServer(listener, port)
    await server.listen()
    return server
  }

  /** Base URL of the server. */
  get url (): string {
    return `http://${LOOPBACK}:${this.#port}`
  }

  /** Number of open connections. */
  get connections (): number {
    return this.#sockets.size
  }

  /** Starts to listen; after `takeOffline` on the same port as before. */
  async listen (): Promise<void> {
    if (this.#server.listening) return
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, LOOPBACK, resolve)
    })
    this.#port = (this.#server.address() as AddressInfo).port
  }

  /** Refuses new connections and resets the open ones. */
  takeOffline (): void {
    this.#server.close()
    this.dropConnections()
  }

  /** Resets every open connection, also during a response. */
  dropConnections (): void {
    for (const socket of this.#sockets) resetSocket(socket)
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

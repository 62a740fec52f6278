/** A TCP relay that adds delay and can reset, silence or stall the connections that it relays. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net'
import type { Standin } from '../control/standinTypes.js'
import { resetSocket } from '../server/resetSocket.js'
import { LOOPBACK } from '../server/switchableServer.js'
import { DelayedPipe, type PipeTiming } from './delayedPipe.js'

/**
 * What the relay does with bytes. `pass`: forwards them. `cut`: resets open and new connections. `stalled`: holds all
 * bytes back and forwards them once the mode changes. Silence is not a mode but a command, because it affects only the
 * connections that are open at that time.
 */
export type DelayMode = 'pass' | 'cut' | 'stalled'

/** What can be changed on the relay while it runs. Delays are one-way. */
export interface DelayKnobs {
  delay: number
  /** Largest additional delay, drawn uniformly. */
  jitter: number
  mode: DelayMode
}

/** Port, target and initial knobs of a relay. */
export interface DelayOptions {
  readonly port?: number
  readonly target: { readonly host: string, readonly port: number }
  readonly knobs?: Partial<DelayKnobs>
  /** Random numbers in [0, 1) for the jitter; `Math.random` by default. */
  readonly random?: () => number
}

/** A running relay. */
export interface DelayStandin extends Standin<DelayKnobs> {
  readonly port: number
  /** Discards all further bytes of the connections open now, in one or both directions; new connections work. */
  readonly silence: (direction?: SilentDirection) => void
}

/** Directions in which a connection can lose its bytes. `to-target`: from client to target. */
export type SilentDirection = 'to-target' | 'to-client' | 'both'

interface RelayedConnection {
  readonly sockets: readonly Socket[]
  readonly pipes: DelayedPipe[]
  silent: SilentDirection | undefined
}

class DelayRelay {
  readonly connections = new Set<RelayedConnection>()
  knobs: DelayKnobs
  accepted = 0

  constructor (readonly options: DelayOptions) {
    this.knobs = { delay: 0, jitter: 0, mode: 'pass', ...options.knobs }
  }

  accept (clientSocket: Socket): void {
    this.accepted += 1
    if (this.knobs.mode === 'cut') {
      resetSocket(clientSocket)
      return
    }
    const targetSocket = connect({ ...this.options.target, noDelay: true, allowHalfOpen: true })
    clientSocket.setNoDelay(true)
    const connection: RelayedConnection = { sockets: [clientSocket, targetSocket], pipes: [], silent: undefined }
    connection.pipes.push(new DelayedPipe(clientSocket, targetSocket, this.pipeTiming(connection, 'to-target')), new DelayedPipe(targetSocket, clientSocket, this.pipeTiming(connection, 'to-client')))
    this.connections.add(connection)
    this.propagateClose(connection, clientSocket, targetSocket)
    this.propagateClose(connection, targetSocket, clientSocket)
  }

  pipeTiming (connection: RelayedConnection, direction: 'to-target' | 'to-client'): PipeTiming {
    const random = this.options.random ?? Math.random
    const isSilent = (): boolean => connection.silent === direction || connection.silent === 'both'
    return {
      delayMs: () => this.knobs.delay + this.knobs.jitter * random(),
      canDeliver: () => this.knobs.mode !== 'stalled' && !isSilent(),
      isDropping: isSilent
    }
  }

  propagateClose (connection: RelayedConnection, socket: Socket, other: Socket): void {
    socket.on('error', () => {})
    socket.on('close', () => {
      // The other side of a silent connection stays open, as when a firewall has lost its connection state.
      if (connection.silent !== undefined && !other.destroyed) return
      if (socket.errored !== null) resetSocket(other)
      if (!other.destroyed) return
      for (const pipe of connection.pipes) pipe.close()
      this.connections.delete(connection)
    })
  }

  updateKnobs (knobs: Partial<DelayKnobs>): void {
    this.knobs = { ...this.knobs, ...knobs }
    if (this.knobs.mode === 'cut') this.dropConnections()
    for (const connection of this.connections) for (const pipe of connection.pipes) pipe.flush()
  }

  silence (direction: SilentDirection): void {
    for (const connection of this.connections) connection.silent = direction
  }

  dropConnections (): void {
    for (const connection of this.connections) for (const socket of connection.sockets) resetSocket(socket)
    this.connections.clear()
  }
}

const listen = async (server: Server, port: number): Promise<number> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, LOOPBACK, resolve)
  })
  return (server.address() as AddressInfo).port
}

/**
 * Starts a relay.
 *
 * @param options - port, target and initial knobs
 * @returns the running relay; its commands are `silence` and `drop`
 */
export const startDelayRelay = async (options: DelayOptions): Promise<DelayStandin> => {
  const delay = new DelayRelay(options)
  const server = createServer({ allowHalfOpen: true }, socket => { delay.accept(socket) })
  const port = await listen(server, options.port ?? 0)
  return {
    url: `http://${LOOPBACK}:${port}`,
    port,
    knobs: () => delay.knobs,
    updateKnobs: knobs => { delay.updateKnobs(knobs) },
    facts: () => ({ accepted: delay.accepted, open: delay.connections.size }),
    commands: {
      silence: () => { delay.silence('both') },
      drop: () => { delay.dropConnections() }
    },
    silence: (direction = 'both') => { delay.silence(direction) },
    close: async () => {
      delay.dropConnections()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

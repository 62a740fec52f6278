/** A TCP relay that adds delay and can cut, silence or stall the connections that it carries. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net'
import type { Standin } from '../control/standinTypes.js'
import { LOOPBACK } from '../server/switchedServer.js'
import { DelayedPipe, type PipeTiming } from './delayedPipe.js'

/**
 * What the relay does. `pass`: delivers. `cut`: resets all connections and new ones. `stalled`: holds all
 * bytes and delivers them later. Silence is an order and strikes only the connections that are open then.
 */
export type DelayMode = 'pass' | 'cut' | 'stalled'

/** What can be changed on the relay while it runs. Spans are milliseconds, one way. */
export interface DelayKnobs {
  delay: number
  /** Largest further delay, drawn evenly. */
  jitter: number
  mode: DelayMode
}

/** Where the relay listens and where it leads. */
export interface DelayOptions {
  readonly port?: number
  readonly target: { readonly host: string, readonly port: number }
  readonly knobs?: Partial<DelayKnobs>
  /** Draws numbers from 0 up to 1, for the jitter. */
  readonly random?: () => number
}

/** A running relay. */
export interface DelayStandin extends Standin<DelayKnobs> {
  readonly port: number
  /** Makes the open connections silent for good, on one way or both; new ones work. */
  readonly silence: (way?: SilentWay) => void
}

/** Ways on which a connection can lose its bytes. `forth`: towards the target. */
export type SilentWay = 'forth' | 'back' | 'both'

interface Relayed {
  readonly sockets: readonly Socket[]
  readonly pipes: DelayedPipe[]
  silent: SilentWay | undefined
}

class Delay {
  readonly relayed = new Set<Relayed>()
  knobs: DelayKnobs
  accepted = 0

  constructor (readonly options: DelayOptions) {
    this.knobs = { delay: 0, jitter: 0, mode: 'pass', ...options.knobs }
  }

  accept (near: Socket): void {
    this.accepted += 1
    if (this.knobs.mode === 'cut') {
      near.resetAndDestroy()
      return
    }
    const far = connect({ ...this.options.target, noDelay: true, allowHalfOpen: true })
    near.setNoDelay(true)
    const relayed: Relayed = { sockets: [near, far], pipes: [], silent: undefined }
    relayed.pipes.push(new DelayedPipe(near, far, this.timing(relayed, 'forth')), new DelayedPipe(far, near, this.timing(relayed, 'back')))
    this.relayed.add(relayed)
    this.watch(relayed, near, far)
    this.watch(relayed, far, near)
  }

  timing (relayed: Relayed, way: 'forth' | 'back'): PipeTiming {
    const random = this.options.random ?? Math.random
    const isSilent = (): boolean => relayed.silent === way || relayed.silent === 'both'
    return {
      delay: () => this.knobs.delay + this.knobs.jitter * random(),
      open: () => this.knobs.mode !== 'stalled' && !isSilent(),
      losing: isSilent
    }
  }

  watch (relayed: Relayed, socket: Socket, other: Socket): void {
    socket.on('error', () => {})
    socket.on('close', () => {
      // A silent connection stays open on the other side, as when something between has lost track of it.
      if (relayed.silent !== undefined && !other.destroyed) return
      if (socket.errored !== null) other.resetAndDestroy()
      if (!other.destroyed) return
      for (const pipe of relayed.pipes) pipe.close()
      this.relayed.delete(relayed)
    })
  }

  set (knobs: Partial<DelayKnobs>): void {
    this.knobs = { ...this.knobs, ...knobs }
    if (this.knobs.mode === 'cut') this.drop()
    for (const relayed of this.relayed) for (const pipe of relayed.pipes) pipe.flush()
  }

  silence (way: SilentWay): void {
    for (const relayed of this.relayed) relayed.silent = way
  }

  drop (): void {
    for (const relayed of this.relayed) for (const socket of relayed.sockets) socket.resetAndDestroy()
    this.relayed.clear()
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
 * @param options - port, target and first knobs
 * @returns the running relay; its orders are `silence` and `drop`
 */
export const startDelay = async (options: DelayOptions): Promise<DelayStandin> => {
  const delay = new Delay(options)
  const server = createServer({ allowHalfOpen: true }, socket => { delay.accept(socket) })
  const port = await listen(server, options.port ?? 0)
  return {
    url: `http://${LOOPBACK}:${port}`,
    port,
    knobs: () => delay.knobs,
    set: knobs => { delay.set(knobs) },
    facts: () => ({ accepted: delay.accepted, open: delay.relayed.size }),
    orders: {
      silence: () => { delay.silence('both') },
      drop: () => { delay.drop() }
    },
    silence: (way = 'both') => { delay.silence(way) },
    close: async () => {
      delay.drop()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

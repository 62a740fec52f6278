/** Shared fixtures of the link specs: options, messages, and a TCP relay whose connections can be stalled and reset. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { asId, newId, systemClock } from '@fuchsiaworks/kernel'
import type { Message } from '../protocol/protocolTypes.js'
import type { Identity, LinkOptions, Session, SessionDialer, SessionServer } from '../session/sessionTypes.js'
import { dialSessions } from './dialSessions.js'
import { listenSessions } from './listenSessions.js'

/** Direction through a relay, by the receiving end. */
export type Towards = 'dialer' | 'listener'

export const linkOptions = (host: string, role: Identity['role']): LinkOptions & { host: string } => ({
  identity: { host: asId(host), incarnation: newId(), role, zone: asId('zone-a') },
  linkKey: 'test key',
  clock: systemClock,
  heartbeat: 20,
  silence: 150,
  expiry: 5000,
  host: '127.0.0.1'
})

export const pull = (number: number): Message =>
  ({ kind: 'pull', pull: number, service: asId('scribe'), workspace: asId('small') })

/** Pull messages numbered from 0. */
export const pulls = (count: number): Message[] => Array.from({ length: count }, (_, index) => pull(index))

/** Waits for the next messages of a session. */
export const takeMessages = async (session: Session, count: number): Promise<Message[]> => {
  const received: Message[] = []
  await session.messages.take(count).observe(message => { received.push(message) })
  return received
}

/** Waits for the next session of a server or dialer. */
export const nextSession = async (source: SessionServer | SessionDialer): Promise<Session> =>
  await new Promise(resolve => { source.sessions.take(1).observe(resolve) })

/** TCP relay that forwards connections to a port. */
export class Relay {
  readonly #pairs = new Set<Record<Towards, Socket>>()
  readonly #server: Server
  readonly #stalled = new WeakSet<Socket>()

  constructor (public target: number) {
    this.#server = createServer({ allowHalfOpen: true }, dialerSocket => {
      const pair = { dialer: dialerSocket, listener: connect({ port: this.target, host: '127.0.0.1', allowHalfOpen: true }) }
      this.#pairs.add(pair)
      this.#pipe(pair.listener, pair.dialer)
      this.#pipe(pair.dialer, pair.listener)
    })
  }

  async open (): Promise<number> {
    await once(this.#server.listen(0, '127.0.0.1'), 'listening')
    return (this.#server.address() as AddressInfo).port
  }

  /** Drops all further data of the current connections towards one end, without closing them. */
  stall (towards: Towards): void {
    for (const pair of this.#pairs) this.#stalled.add(pair[towards])
  }

  /** Resets the current connections. */
  resetConnections (): void {
    for (const pair of this.#pairs) for (const socket of Object.values(pair)) socket.resetAndDestroy()
    this.#pairs.clear()
  }

  /** Writes extra bytes to the current connections. */
  inject (towards: Towards, data: Uint8Array): void {
    for (const pair of this.#pairs) pair[towards].write(data)
  }

  async close (): Promise<void> {
    this.resetConnections()
    this.#server.close()
    await once(this.#server, 'close')
  }

  #pipe (from: Socket, to: Socket): void {
    from.on('data', data => { if (!this.#stalled.has(to)) to.write(data) })
    from.on('end', () => { if (!this.#stalled.has(to)) to.end() })
    from.on('error', () => { if (!this.#stalled.has(to)) to.destroy() })
    from.on('close', () => { if (!this.#stalled.has(to)) to.destroy() })
  }
}

/** A session over a relay, with both of its ends. */
export interface Link {
  readonly server: SessionServer
  readonly dialer: SessionDialer
  readonly relay: Relay
  readonly dialerSession: Session
  readonly listenerSession: Session
  readonly close: () => Promise<void>
}

/** Opens a session over a relay; `overrides` replace the options of either end. */
export const openLink = async (overrides: Partial<Record<Towards, Partial<LinkOptions>>> = {}): Promise<Link> => {
  const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0, ...overrides.listener })
  const relay = new Relay(server.address.port)
  const arrival = nextSession(server)
  const dialer = dialSessions({ ...linkOptions('agent-1', 'agent'), port: await relay.open(), ...overrides.dialer })
  const dialerSession = await nextSession(dialer)
  const listenerSession = await arrival
  const close = async (): Promise<void> => {
    dialer.close()
    await relay.close()
    await server.close()
  }
  return { server, dialer, relay, dialerSession, listenerSession, close }
}

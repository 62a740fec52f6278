/** Sessions over real sockets. */
import { describe, it } from 'node:test'
import { asId, newId, systemClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import type { Message } from '../protocol/protocolTypes.js'
import type { Identity, LinkOptions, Session } from '../session/sessionTypes.js'
import { dialSessions } from './dialSessions.js'
import { listenSessions } from './listenSessions.js'

const identity = (host: string, role: Identity['role']): Identity =>
  ({ host: asId(host), incarnation: newId(), role, zone: asId('zone-a') })

const options = (host: string, role: Identity['role']): LinkOptions & { host: string } => ({
  identity: identity(host, role), linkKey: 'test key', clock: systemClock, heartbeat: 100, silence: 500, expiry: 3000, host: '127.0.0.1'
})

const pull = (number: number): Message =>
  ({ kind: 'pull', pull: number, service: asId('scribe'), workspace: asId('small') })

const take = async (session: Session, count: number): Promise<Message[]> =>
  await session.messages.take(count).reduce<Message[]>((all, message) => [...all, message], [])

describe('sessions', () => {
  it('carry messages in order in both directions, several on one server', async () => {
    const server = await listenSessions({ ...options('router-1', 'router'), port: 0 })
    const seen: Record<string, Message[]> = {}
    server.sessions.observe(session => {
      session.messages.observe(message => {
        (seen[session.peer.host] ??= []).push(message)
        session.send(message)
      })
    })
    const dialers = ['agent-1', 'agent-2'].map(host => dialSessions({ ...options(host, 'agent'), port: server.address.port }))
    const echoes = await Promise.all(dialers.map(async dialer => {
      let echo: Promise<Message[]> | undefined
      await dialer.sessions.take(1).observe(session => {
        echo = take(session, 3)
        for (const number of [1, 2, 3]) session.send(pull(number))
      })
      return await echo
    }))
    const sent = [1, 2, 3].map(pull)
    expect(echoes).toEqual([sent, sent])
    expect(seen).toEqual({ 'agent-1': sent, 'agent-2': sent })
    for (const dialer of dialers) dialer.close()
    await server.close()
  })
})

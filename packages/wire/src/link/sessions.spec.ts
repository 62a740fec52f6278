/** Sessions over real sockets, through a relay that injects stalls and connection resets. */
import { describe, it } from 'node:test'
import { asId, ManualClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import type { Message } from '../protocol/protocolTypes.js'
import type { TransportEvent } from '../session/sessionTypes.js'
import { MessageTooLargeError } from '../session/linkSession.js'
import { dialSessions } from './dialSessions.js'
import { MAX_MESSAGE_BYTES } from './linkConstants.js'
import { type Link, linkOptions, nextSession, openLink, pull, pulls, takeMessages, type Towards } from './linkFixtures.spec.js'
import { listenSessions } from './listenSessions.js'

/** Sends the same messages in both directions, and waits until all have arrived in order. */
const exchange = async ({ dialerSession, listenerSession }: Link, count: number, onSent = (_index: number): void => {}): Promise<void> => {
  const received = Promise.all([takeMessages(dialerSession, count), takeMessages(listenerSession, count)])
  for (let index = 0; index < count; index++) {
    dialerSession.send(pull(index))
    listenerSession.send(pull(index))
    onSent(index)
    if (index % 50 === 0) await new Promise(resolve => { setImmediate(resolve) })
  }
  expect(await received).toEqual([pulls(count), pulls(count)])
}

const transportKindsUntilUp = async (link: Link): Promise<string[]> => {
  const kinds: string[] = []
  await link.dialerSession.transport.takeWhile(event => event.kind !== 'up').observe((event: TransportEvent) => { kinds.push(event.kind) })
  return kinds
}

describe('sessions', () => {
  it('carry messages in order in both directions, several on one server', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    const receivedByHost: Record<string, Message[]> = {}
    server.sessions.observe(session => {
      session.messages.observe(message => {
        (receivedByHost[session.peer.host] ??= []).push(message)
        session.send(message)
      })
    })
    const dialers = ['agent-1', 'agent-2'].map(host => dialSessions({ ...linkOptions(host, 'agent'), port: server.address.port }))
    const echoes = await Promise.all(dialers.map(async dialer => {
      const session = await nextSession(dialer)
      for (const message of pulls(3)) session.send(message)
      return await takeMessages(session, 3)
    }))
    expect(echoes).toEqual([pulls(3), pulls(3)])
    expect(receivedByHost).toEqual({ 'agent-1': pulls(3), 'agent-2': pulls(3) })
    for (const dialer of dialers) dialer.close()
    await server.close()
  })

  it('carry more data at once than the socket buffer holds', async () => {
    const link = await openLink()
    const data = Buffer.alloc(60_000, 'x')
    const received = takeMessages(link.listenerSession, 120)
    for (let i = 0; i < 120; i++) link.dialerSession.send({ kind: 'response-body', request: asId('r'), data })
    expect((await received).map(message => message.kind === 'response-body' ? message.data.byteLength : 0)).toEqual(Array(120).fill(60_000))
    await link.close()
  })

  it('reject a message that exceeds the maximum size, and stay usable', async () => {
    const link = await openLink()
    const message: Message = { kind: 'response-body', request: asId('r'), data: Buffer.alloc(MAX_MESSAGE_BYTES) }
    expect(() => { link.dialerSession.send(message) }).toThrow(MessageTooLargeError)
    await exchange(link, 3)
    await link.close()
  })

  it('may be closed in the callback that announces them', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    server.sessions.take(1).observe(session => { session.close() })
    const dialer = dialSessions({ ...linkOptions('agent-1', 'agent'), port: server.address.port })
    const first = await nextSession(dialer)
    const second = await nextSession(dialer)
    expect([await first.ended, second.connected]).toEqual(['peer-closed', true])
    dialer.close()
    await server.close()
  })

  it('lose no messages over connection resets and stalls, in sequence and combined', async () => {
    const link = await openLink()
    const { relay } = link
    const faults = [
      () => { relay.resetConnections() },
      () => { relay.stall('dialer') },
      () => { relay.stall('listener') },
      () => { relay.resetConnections() },
      () => {
        relay.stall('dialer')
        relay.stall('listener')
      }
    ]
    for (const fault of faults) {
      await exchange(link, 600, index => {
        if (index % 400 === 200) fault()
        if (index === 250) relay.resetConnections()
      })
    }
    await link.close()
  })

  for (const directions of [['dialer'], ['listener'], ['dialer', 'listener']] as Towards[][]) {
    it(`lose no messages when a connection goes silent towards ${directions.join(' and ')}`, async () => {
      const link = await openLink()
      const kinds = transportKindsUntilUp(link)
      for (const towards of directions) link.relay.stall(towards)
      await exchange(link, 500)
      if (directions.includes('dialer')) expect(await kinds).toEqual(['silent', 'down'])
      else expect((await kinds).includes('down')).toEqual(true)
      await link.close()
    })
  }

  it('estimate the round-trip time and the clock offset at both ends', async () => {
    const link = await openLink()
    while (link.listenerSession.roundTrip === 0) await new Promise(resolve => { setImmediate(resolve) })
    expect([link.dialerSession.roundTrip > 0, Math.abs(link.dialerSession.clockOffset) < 1000]).toEqual([true, true])
    await link.close()
  })

  it('end with peer-closed at the other end when they are closed, and the dialer opens a new one', async () => {
    const link = await openLink()
    const nextDialed = nextSession(link.dialer)
    link.listenerSession.send(pull(0))
    const last = takeMessages(link.dialerSession, 1)
    link.listenerSession.close()
    expect([await link.listenerSession.ended, await link.dialerSession.ended, await last]).toEqual(['closed', 'peer-closed', [pull(0)]])
    await nextDialed
    await link.close()
  })

  it('end when the peer has restarted, at either end', async () => {
    const link = await openLink()
    const restartedDialer = dialSessions({ ...linkOptions('agent-1', 'agent'), port: link.server.address.port })
    expect(await link.listenerSession.ended).toEqual('peer-restarted')
    expect(await link.dialerSession.ended).toEqual('expired')
    restartedDialer.close()
    await link.close()

    const rerouted = await openLink()
    const restartedServer = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    rerouted.relay.target = restartedServer.address.port
    rerouted.relay.resetConnections()
    expect(await rerouted.dialerSession.ended).toEqual('peer-restarted')
    await rerouted.close()
    await restartedServer.close()
  })

  it('expire in a process that was paused, before it acts on frames waiting in its socket, and at its peer', async () => {
    const clock = new ManualClock()
    const link = await openLink({ listener: { clock } })
    const delivered: Message[] = []
    link.listenerSession.messages.observe(message => { delivered.push(message) })
    link.dialerSession.send(pull(0))
    clock.skip(5000)
    expect([await link.listenerSession.ended, await link.dialerSession.ended, delivered]).toEqual(['expired', 'expired', []])
    await link.close()
  })

  it('end with overflow when a silent peer leaves too many bytes unacknowledged', async () => {
    const link = await openLink({ dialer: { bufferLimitBytes: 1000, silence: 60_000, expiry: 90_000, heartbeat: 30_000 } })
    link.relay.stall('listener')
    for (const message of pulls(100)) link.dialerSession.send(message)
    expect([await link.dialerSession.ended, link.dialerSession.unconfirmedBytes]).toEqual(['overflow', 0])
    await link.close()
  })

  it('do not end for a second dialer of the same process', async () => {
    const link = await openLink()
    const second = dialSessions({ ...linkOptions('agent-1', 'agent'), identity: link.listenerSession.peer, port: link.server.address.port })
    await nextSession(second)
    await exchange(link, 10)
    expect(link.listenerSession.connected).toEqual(true)
    second.close()
    await link.close()
  })
})

/** Sessions over real sockets, through a relay that fails. */
import { describe, it } from 'node:test'
import { asId, ManualClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import type { Message } from '../protocol/protocolTypes.js'
import type { TransportEvent } from '../session/sessionTypes.js'
import { MessageTooLargeError } from '../session/linkSession.js'
import { dialSessions } from './dialSessions.js'
import { MAX_MESSAGE_BYTES } from './linkConstants.js'
import { type Link, linkOptions, nextSession, openLink, pull, pulls, take, type Towards } from './linkFixtures.spec.js'
import { listenSessions } from './listenSessions.js'

/** Sends the same messages in both directions and waits until all have come. */
const exchange = async ({ near, far }: Link, count: number, between = (_index: number): void => {}): Promise<void> => {
  const received = Promise.all([take(near, count), take(far, count)])
  for (let index = 0; index < count; index++) {
    near.send(pull(index))
    far.send(pull(index))
    between(index)
    if (index % 50 === 0) await new Promise(resolve => { setImmediate(resolve) })
  }
  expect(await received).toEqual([pulls(count), pulls(count)])
}

const silentThenUp = async (link: Link): Promise<string[]> => {
  const kinds: string[] = []
  await link.near.transport.takeWhile(event => event.kind !== 'up').observe((event: TransportEvent) => { kinds.push(event.kind) })
  return kinds
}

describe('sessions', () => {
  it('carry messages in order in both directions, several on one server', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    const seen: Record<string, Message[]> = {}
    server.sessions.observe(session => {
      session.messages.observe(message => {
        (seen[session.peer.host] ??= []).push(message)
        session.send(message)
      })
    })
    const dialers = ['agent-1', 'agent-2'].map(host => dialSessions({ ...linkOptions(host, 'agent'), port: server.address.port }))
    const echoes = await Promise.all(dialers.map(async dialer => {
      const session = await nextSession(dialer)
      for (const message of pulls(3)) session.send(message)
      return await take(session, 3)
    }))
    expect(echoes).toEqual([pulls(3), pulls(3)])
    expect(seen).toEqual({ 'agent-1': pulls(3), 'agent-2': pulls(3) })
    for (const dialer of dialers) dialer.close()
    await server.close()
  })

  it('carry more at once than a socket buffers', async () => {
    const link = await openLink()
    const data = Buffer.alloc(60_000, 'x')
    const received = take(link.far, 120)
    for (let i = 0; i < 120; i++) link.near.send({ kind: 'response-body', request: asId('r'), data })
    expect((await received).map(message => message.kind === 'response-body' ? message.data.byteLength : 0)).toEqual(Array(120).fill(60_000))
    await link.close()
  })

  it('refuse a message that is larger than a frame may be', async () => {
    const link = await openLink()
    const message: Message = { kind: 'response-body', request: asId('r'), data: Buffer.alloc(MAX_MESSAGE_BYTES) }
    expect(() => { link.near.send(message) }).toThrow(MessageTooLargeError)
    await exchange(link, 3)
    await link.close()
  })

  it('may be closed at once by who hears of them', async () => {
    const server = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    server.sessions.take(1).observe(session => { session.close() })
    const dialer = dialSessions({ ...linkOptions('agent-1', 'agent'), port: server.address.port })
    const first = await nextSession(dialer)
    const second = await nextSession(dialer)
    expect([await first.ended, second.connected]).toEqual(['peer-closed', true])
    dialer.close()
    await server.close()
  })

  it('go on without loss over cuts and stalls, one after the other and at once', async () => {
    const link = await openLink()
    const { relay } = link
    const faults = [
      () => { relay.cut() },
      () => { relay.stall('dialer') },
      () => { relay.stall('listener') },
      () => { relay.cut() },
      () => {
        relay.stall('dialer')
        relay.stall('listener')
      }
    ]
    for (const fault of faults) {
      await exchange(link, 600, index => {
        if (index % 400 === 200) fault()
        if (index === 250) relay.cut()
      })
    }
    await link.close()
  })

  for (const directions of [['dialer'], ['listener'], ['dialer', 'listener']] as Towards[][]) {
    it(`go on without loss when a connection goes silent towards ${directions.join(' and ')}`, async () => {
      const link = await openLink()
      const kinds = silentThenUp(link)
      for (const towards of directions) link.relay.stall(towards)
      await exchange(link, 500)
      if (directions.includes('dialer')) expect(await kinds).toEqual(['silent', 'down'])
      else expect((await kinds).includes('down')).toEqual(true)
      await link.close()
    })
  }

  it('measure round trip and clock offset at both ends', async () => {
    const link = await openLink()
    while (link.far.roundTrip === 0) await new Promise(resolve => { setImmediate(resolve) })
    expect([link.near.roundTrip > 0, Math.abs(link.near.clockOffset) < 1000]).toEqual([true, true])
    await link.close()
  })

  it('tell the peer when they are closed, and the dialer opens the next', async () => {
    const link = await openLink()
    const again = nextSession(link.dialer)
    link.far.send(pull(0))
    const last = take(link.near, 1)
    link.far.close()
    expect([await link.far.ended, await link.near.ended, await last]).toEqual(['closed', 'peer-closed', [pull(0)]])
    await again
    await link.close()
  })

  it('end when the peer has restarted, seen from either end', async () => {
    const link = await openLink()
    const younger = dialSessions({ ...linkOptions('agent-1', 'agent'), port: link.server.address.port })
    expect(await link.far.ended).toEqual('peer-restarted')
    expect(await link.near.ended).toEqual('expired')
    younger.close()
    await link.close()

    const moved = await openLink()
    const successor = await listenSessions({ ...linkOptions('router-1', 'router'), port: 0 })
    moved.relay.target = successor.address.port
    moved.relay.cut()
    expect(await moved.near.ended).toEqual('peer-restarted')
    await moved.close()
    await successor.close()
  })

  it('expire at a process that was stopped before it acts on frames that waited, and at its peer', async () => {
    const clock = new ManualClock()
    const link = await openLink({ listener: { clock } })
    const delivered: Message[] = []
    link.far.messages.observe(message => { delivered.push(message) })
    link.near.send(pull(0))
    clock.skip(5000)
    expect([await link.far.ended, await link.near.ended, delivered]).toEqual(['expired', 'expired', []])
    await link.close()
  })

  it('end with overflow when a silent peer lets too much wait', async () => {
    const link = await openLink({ dialer: { bufferLimit: 1000, silence: 60_000, expiry: 90_000, heartbeat: 30_000 } })
    link.relay.stall('listener')
    for (const message of pulls(100)) link.near.send(message)
    expect([await link.near.ended, link.near.unconfirmedBytes]).toEqual(['overflow', 0])
    await link.close()
  })

  it('do not end for a second dialer of the same process', async () => {
    const link = await openLink()
    const second = dialSessions({ ...linkOptions('agent-1', 'agent'), identity: link.far.peer, port: link.server.address.port })
    await nextSession(second)
    await exchange(link, 10)
    expect(link.far.connected).toEqual(true)
    second.close()
    await link.close()
  })
})

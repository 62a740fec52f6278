/** Specification of the relay of questions about keys. */
import { describe, it } from 'node:test'
import { asId, EventSource, type Fingerprint, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type ClosedLink, type FleetLink, type LinkHub, MessageDispatcher } from '@fuchsiaworks/fleet'
import type { KeyQueryMessage, Message } from '@fuchsiaworks/wire'
import { expect } from 'earl'
import type { AgentStates } from '../links/agentStates.js'
import { KeyRelay } from './keyRelay.js'

/** A link that keeps what is sent. */
const link = (): FleetLink & { readonly sent: Message[] } => {
  const sent: Message[] = []
  return { sent, send: (message: Message) => { sent.push(message) } } as unknown as FleetLink & { readonly sent: Message[] }
}

const question = (ask: number, upstream = 'u0'): KeyQueryMessage => ({
  kind: 'key-ask',
  ask,
  revision: 5,
  service: asId<ServiceId>('ledger'),
  workspace: asId<WorkspaceId>('small'),
  key: 'k',
  fingerprint: asId<Fingerprint>('f'),
  upstream: asId<UpstreamId>(upstream)
})

const relay = () => {
  const table = new MessageDispatcher()
  const closed = new EventSource<ClosedLink>()
  const [asker, other, home] = [link(), link(), link()]
  const states = { all: () => [[home, { upstream: 'u0' }]] } as unknown as AgentStates
  return { relay: new KeyRelay({ dispatcher: table, closed: closed.stream } as unknown as LinkHub, states), table, closed, asker, other, home }
}

describe('key relay', () => {
  it('brings each answer to the link that asked, under its own number, once', () => {
    const { table, asker, other, home } = relay()
    table.dispatch(asker, question(7))
    table.dispatch(other, question(7))
    expect(home.sent).toEqual([question(1), question(2)])
    for (let n = 0; n < 2; n += 1) table.dispatch(home, { kind: 'key-told', ask: 2, state: 'never' })
    expect([asker.sent, other.sent]).toEqual([[], [{ kind: 'key-told', ask: 7, state: 'never' }]])
  })

  it('takes an answer only from the home that was asked', () => {
    const { table, asker, other } = relay()
    table.dispatch(asker, question(7))
    table.dispatch(other, { kind: 'key-told', ask: 1, state: 'never' })
    expect(asker.sent).toEqual([])
  })

  it('answers unknown when the home has no link, or when its link ends', async () => {
    const { table, closed, asker, home } = relay()
    table.dispatch(asker, question(7, 'u9'))
    expect(asker.sent).toEqual([{ kind: 'key-told', ask: 7, state: 'unknown' }])
    table.dispatch(asker, question(8))
    closed.emit({ link: home, reason: 'expired' })
    await Promise.resolve()
    expect(asker.sent.slice(1)).toEqual([{ kind: 'key-told', ask: 8, state: 'unknown' }])
    table.dispatch(home, { kind: 'key-told', ask: 1, state: 'never' })
    expect(asker.sent.length).toEqual(2)
  })
})

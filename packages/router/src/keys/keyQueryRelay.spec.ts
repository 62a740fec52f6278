/** Specification of the relay of queries about keys. */
import { describe, it } from 'node:test'
import { asId, EventSource, type Fingerprint, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type ClosedLink, type FleetLink, type LinkHub, MessageDispatcher } from '@fuchsiaworks/fleet'
import type { KeyAskMessage, Message } from '@fuchsiaworks/wire'
import { expect } from 'earl'
import type { AgentStates } from '../links/agentStates.js'
import { KeyQueryRelay } from './keyQueryRelay.js'

/** A link that keeps what is sent. */
const createLink = (): FleetLink & { readonly sent: Message[] } => {
  const sent: Message[] = []
  return { sent, send: (message: Message) => { sent.push(message) } } as unknown as FleetLink & { readonly sent: Message[] }
}

const createQuery = (ask: number, upstream = 'u0'): KeyAskMessage => ({
  kind: 'key-ask',
  ask,
  revision: 5,
  service: asId<ServiceId>('ledger'),
  workspace: asId<WorkspaceId>('small'),
  key: 'k',
  fingerprint: asId<Fingerprint>('f'),
  upstream: asId<UpstreamId>(upstream)
})

const createRelay = () => {
  const dispatcher = new MessageDispatcher()
  const closed = new EventSource<ClosedLink>()
  const [requester, other, home] = [createLink(), createLink(), createLink()]
  const states = { entries: () => [[home, { upstream: 'u0' }]] } as unknown as AgentStates
  return { relay: new KeyQueryRelay({ dispatcher, closed: closed.stream } as unknown as LinkHub, states), dispatcher, closed, requester, other, home }
}

describe('key relay', () => {
  it('brings each answer to the link that asked, under its own number, once', () => {
    const { dispatcher, requester, other, home } = createRelay()
    dispatcher.dispatch(requester, createQuery(7))
    dispatcher.dispatch(other, createQuery(7))
    expect(home.sent).toEqual([createQuery(1), createQuery(2)])
    for (let n = 0; n < 2; n += 1) dispatcher.dispatch(home, { kind: 'key-told', ask: 2, state: 'never' })
    expect([requester.sent, other.sent]).toEqual([[], [{ kind: 'key-told', ask: 7, state: 'never' }]])
  })

  it('takes an answer only from the home that was asked', () => {
    const { dispatcher, requester, other } = createRelay()
    dispatcher.dispatch(requester, createQuery(7))
    dispatcher.dispatch(other, { kind: 'key-told', ask: 1, state: 'never' })
    expect(requester.sent).toEqual([])
  })

  it('answers unknown when the home has no link, or when its link ends', async () => {
    const { dispatcher, closed, requester, home } = createRelay()
    dispatcher.dispatch(requester, createQuery(7, 'u9'))
    expect(requester.sent).toEqual([{ kind: 'key-told', ask: 7, state: 'unknown' }])
    dispatcher.dispatch(requester, createQuery(8))
    closed.emit({ link: home, reason: 'expired' })
    await Promise.resolve()
    expect(requester.sent.slice(1)).toEqual([{ kind: 'key-told', ask: 8, state: 'unknown' }])
    dispatcher.dispatch(home, { kind: 'key-told', ask: 1, state: 'never' })
    expect(requester.sent.length).toEqual(2)
  })
})

import { describe, it } from 'node:test'
import { asId, EventSource, type Fingerprint, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type ClosedLink, type FleetLink, type LinkHub, MessageDispatcher } from '@fuchsiaworks/fleet'
import type { KeyQueryMessage, Message } from '@fuchsiaworks/wire'
import { expect } from 'earl'
import type { AgentStates } from '../links/agentStates.js'
import { KeyQueryRelay } from './keyQueryRelay.js'

/** A fake link that records the messages sent on it. */
const createLink = (): FleetLink & { readonly sent: Message[] } => {
  const sent: Message[] = []
  return { sent, send: (message: Message) => { sent.push(message) } } as unknown as FleetLink & { readonly sent: Message[] }
}

const createQuery = (ask: number, upstream = 'u0'): KeyQueryMessage => ({
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

describe('KeyQueryRelay', () => {
  it('relays each reply once, to the requester and with its original id', () => {
    const { dispatcher, requester, other, home } = createRelay()
    dispatcher.dispatch(requester, createQuery(7))
    dispatcher.dispatch(other, createQuery(7))
    expect(home.sent).toEqual([createQuery(1), createQuery(2)])
    for (let n = 0; n < 2; n += 1) dispatcher.dispatch(home, { kind: 'key-told', ask: 2, state: 'never' })
    expect([requester.sent, other.sent]).toEqual([[], [{ kind: 'key-told', ask: 7, state: 'never' }]])
  })

  it('ignores a reply from a link other than the queried home', () => {
    const { dispatcher, requester, other } = createRelay()
    dispatcher.dispatch(requester, createQuery(7))
    dispatcher.dispatch(other, { kind: 'key-told', ask: 1, state: 'never' })
    expect(requester.sent).toEqual([])
  })

  it('replies unknown when the home has no link or its link closes', async () => {
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

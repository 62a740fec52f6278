import { describe, it } from 'node:test'
import { asId, type HostId, systemClock, TimeLine } from '@fuchsiaworks/kernel'
import { listenSessions, type LinkOptions, type SessionServer } from '@fuchsiaworks/wire'
import { expect } from 'earl'
import type { ProcessContext } from '../context/processContext.js'
import { DialTable } from './dialTable.js'
import { LinkHub } from './linkHub.js'

/** A router process reduced to its links. */
interface RouterNode {
  readonly hub: LinkHub
  readonly dials: DialTable
  readonly server: SessionServer
}

const startRouterNode = async (name: string): Promise<RouterNode> => {
  const host = asId<HostId>(name)
  const identity = { host, incarnation: asId<never>(`${name}-life`), role: 'router', zone: asId<never>('z') } as const
  const timeLine = new TimeLine(systemClock, host, identity.incarnation)
  const options: LinkOptions = { identity, linkKey: '0123456789abcdef', clock: systemClock, heartbeat: 100, silence: 1_000, expiry: 5_000 }
  const hub = new LinkHub({ identity, timeLine } as unknown as ProcessContext)
  const server = await listenSessions({ ...options, host: '127.0.0.1', port: 0 })
  server.sessions.observe(session => { hub.addSession(session, false) }).catch(() => {})
  return { hub, dials: new DialTable(hub, options), server }
}

const close = async ({ hub, dials, server }: RouterNode): Promise<void> => {
  dials.close()
  hub.close()
  await server.close()
}

const countLinkUps = ({ hub }: RouterNode): number => hub.context.timeLine.read(entry => entry.event.kind === 'link-up').length

describe('two routers that dial each other', () => {
  it('keep the link dialled by the host with the smaller name and stop the other dialer', async () => {
    const [a, b] = await Promise.all([startRouterNode('a'), startRouterNode('b')])
    try {
      a.dials.dialSeed(b.server.address)
      b.dials.dialSeed(a.server.address)
      const settled = (): boolean => a.hub.withRole('router')[0]?.dialled === true && b.hub.withRole('router')[0]?.dialled === false
      while (!settled()) await new Promise(resolve => { setTimeout(resolve, 5) })
      const before = [countLinkUps(a), countLinkUps(b)]
      // Long enough for several redials if the redundant dialer kept running.
      await new Promise(resolve => { setTimeout(resolve, 600) })
      expect([countLinkUps(a), countLinkUps(b)]).toEqual(before)
      expect(a.hub.withRole('router').length).toEqual(1)
    } finally {
      await Promise.all([close(a), close(b)])
    }
  })
})

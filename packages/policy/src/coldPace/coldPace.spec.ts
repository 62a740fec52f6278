import { describe, it } from 'node:test'
import { asId, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { loadStringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import { coldRate, ownsColdUpstream, maySendToColdUpstream } from './coldPace.js'
import { ColdPaceDb } from './coldPaceDb.js'
import type { RouterView } from './coldPaceTypes.js'

const hash = await loadStringHash()
const COLD = { id: asId<UpstreamId>('cold'), requestsPerSecond: 14 }
const peers = (count: number): PeerId[] => Array.from({ length: count }, (_, at) => asId<PeerId>(`r${at}`))

/** How each router sees the fleet when it reaches the named ones only. */
const viewOf = (self: PeerId, all: readonly PeerId[], reached: readonly PeerId[]): RouterView => {
  const reachable = reached.filter(id => id !== self)
  return { self, reachable, unreachableCount: all.length - 1 - reachable.length, settled: true }
}

/** Requests that reach the cold upstream in one second when every router always wants to send. */
const sentInSecond = (views: readonly RouterView[]): number => {
  const dbs = views.map(() => new ColdPaceDb())
  const sent: number[] = []
  for (let now = 0; now < 5000; now += 5) {
    views.forEach((view, at) => {
      if (!maySendToColdUpstream(dbs[at]!, hash, view, COLD, now)) return
      dbs[at]!.takeToken(COLD.id, coldRate(COLD), now)
      sent.push(now)
    })
  }
  return Math.max(...sent.map(start => sent.filter(at => at >= start && at < start + 1000).length), 0)
}

describe('the pace of a cold upstream', () => {
  it('is kept by one router of the fleet', () => {
    const all = peers(31)
    expect(all.filter(self => ownsColdUpstream(hash, viewOf(self, all, all), COLD)).length).toEqual(1)
    expect(sentInSecond(all.map(self => viewOf(self, all, all)))).toBeLessThanOrEqual(14)
  })

  it('stays bearable while the fleet is split in two that each see most of the others', () => {
    const all = peers(5)
    const views = all.map((self, at) => viewOf(self, all, at < 3 ? all.slice(0, 3) : all.slice(2)))
    // What the users allow: 1.5 times the rate, and 5 more.
    expect(sentInSecond(views)).toBeLessThanOrEqual(26)
  })

  it('lets no router send that has lost sight of most others or does not know them yet', () => {
    const all = peers(5)
    for (const self of all) {
      expect(ownsColdUpstream(hash, viewOf(self, all, [self]), COLD)).toEqual(false)
      expect(ownsColdUpstream(hash, { self, reachable: [], unreachableCount: 0, settled: false }, COLD)).toEqual(false)
    }
  })

  it('lets a router that is alone send', () => {
    expect(ownsColdUpstream(hash, { self: asId('only'), reachable: [], unreachableCount: 0, settled: true }, COLD)).toEqual(true)
  })
})

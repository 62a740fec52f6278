import { describe, it } from 'node:test'
import { asId, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { loadStringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import { coldRate, ownsColdUpstream, maySendToColdUpstream } from './coldPace.js'
import { ColdPaceDb } from './coldPaceDb.js'
import type { GatewayView } from './coldPaceTypes.js'

const hash = await loadStringHash()
const COLD_UPSTREAM = { id: asId<UpstreamId>('cold'), requestsPerSecond: 14 }
const peers = (count: number): PeerId[] => Array.from({ length: count }, (_, index) => asId<PeerId>(`r${index}`))

/** @returns the membership view of a gateway that reaches only the given ones */
const viewOf = (self: PeerId, all: readonly PeerId[], reached: readonly PeerId[]): GatewayView => {
  const reachable = reached.filter(id => id !== self)
  return { self, reachable, unreachableCount: all.length - 1 - reachable.length, settled: true }
}

/** @returns the most requests to the cold upstream in any one second while every gateway always has requests for it */
const maxSentPerSecond = (views: readonly GatewayView[]): number => {
  const dbs = views.map(() => new ColdPaceDb())
  const sent: number[] = []
  for (let now = 0; now < 5000; now += 5) {
    views.forEach((view, index) => {
      if (!maySendToColdUpstream(dbs[index]!, hash, view, COLD_UPSTREAM, now)) return
      dbs[index]!.takeToken(COLD_UPSTREAM.id, coldRate(COLD_UPSTREAM), now)
      sent.push(now)
    })
  }
  return Math.max(...sent.map(start => sent.filter(at => at >= start && at < start + 1000).length), 0)
}

describe('the rate limit for a cold upstream', () => {
  it('lets exactly one gateway of the fleet send', () => {
    const all = peers(31)
    expect(all.filter(self => ownsColdUpstream(hash, viewOf(self, all, all), COLD_UPSTREAM)).length).toEqual(1)
    expect(maxSentPerSecond(all.map(self => viewOf(self, all, all)))).toBeLessThanOrEqual(14)
  })

  it('stays within the allowed excess while two overlapping halves of the fleet do not reach each other', () => {
    const all = peers(5)
    const views = all.map((self, index) => viewOf(self, all, index < 3 ? all.slice(0, 3) : all.slice(2)))
    // Allowed: 1.5 times the rate, plus 5.
    expect(maxSentPerSecond(views)).toBeLessThanOrEqual(26)
  })

  it('lets no gateway send that cannot reach most of the others or has not discovered them yet', () => {
    const all = peers(5)
    for (const self of all) {
      expect(ownsColdUpstream(hash, viewOf(self, all, [self]), COLD_UPSTREAM)).toEqual(false)
      expect(ownsColdUpstream(hash, { self, reachable: [], unreachableCount: 0, settled: false }, COLD_UPSTREAM)).toEqual(false)
    }
  })

  it('lets the only gateway of a fleet send', () => {
    expect(ownsColdUpstream(hash, { self: asId('only'), reachable: [], unreachableCount: 0, settled: true }, COLD_UPSTREAM)).toEqual(true)
  })
})

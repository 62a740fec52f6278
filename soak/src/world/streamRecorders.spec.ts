import { describe, it } from 'node:test'
import { type Millis, systemClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { RecorderProcess } from './recorderProcess.js'
import { pause, VersionedFleet, type VersionedFleetOptions } from './versionedFleet.js'

const ALL = [0, 1, 2, 3]
const RECORDERS = 3

/** Seeds of each recorder; the last one is never an address of a gateway. */
const SEEDS = 2
const STALE_SEED = '127.0.0.1:9'

const LOSSES = 2

/** Time for which streams begin before the first loss of all gateways, and after each of them. */
const BEFORE_MS: Millis = 2500
const AFTER_MS: Millis = 9000

/** Time for which the killed gateways are down. */
const DOWN_MS: Millis = 300

/**
 * Longest lifetime of a stream. A gateway may take 7 s to start on a busy machine; with a lifetime of 12 s and 5 s between the losses, callers
 * gave up before any gateway had its configuration.
 */
const STREAM_LIFETIME_MS: Millis = 24_000

/** Streams that are taken up after a loss, at least, for a run to show anything. */
const MIN_TAKEN_UP = 12

/** How often streams from before a loss go on, in relation to how often new ones begin. */
const MIN_RATIO = 0.9

/** Lets all gateways be killed at once again and again, and returns what became of the streams. */
const play = async (options: VersionedFleetOptions, onLoss: (recorders: readonly RecorderProcess[]) => Promise<void>): Promise<{ mixed: number, takenUp: readonly number[], goneOnShares: readonly number[], begunShare: number }> => {
  const world = await VersionedFleet.start({ ...options, streamLifetimeMs: STREAM_LIFETIME_MS })
  const seeds = world.fleet.peerLinks.slice(0, SEEDS).map(({ address }) => address)
  const recorders = Array.from({ length: RECORDERS }, (_, nth) => new RecorderProcess(`engine-${nth}`, [...seeds, STALE_SEED]))
  try {
    for (const recorder of recorders) recorder.start()
    await pause(BEFORE_MS)
    world.startStreams()
    const lostAt: Millis[] = []
    for (let nth = 0; nth < LOSSES; nth++) {
      await pause(nth === 0 ? BEFORE_MS : AFTER_MS)
      lostAt.push(systemClock.now())
      await Promise.all([world.killGateways(ALL), onLoss(recorders)])
      await pause(DOWN_MS)
      world.startGateways(ALL)
    }
    await pause(AFTER_MS)
    world.stopStreams()
    await pause(STREAM_LIFETIME_MS - AFTER_MS)
    const { streams } = world
    const mixed = streams.filter(({ versions }) => versions.size > 1).length
    const takenUp = lostAt.map((at, nth) => streams.filter(({ takenUpAt = -Infinity }) => takenUpAt > at && takenUpAt < (lostAt[nth + 1] ?? Infinity)))
    const goneOnShares = takenUp.map(lost => lost.filter(({ hasGoneOn }) => hasGoneOn).length / lost.length)
    const begunShare = streams.filter(({ origin }) => origin !== undefined).length / streams.length
    console.log(`${streams.length} streams, ${mixed} of them mixed, ${begunShare.toFixed(3)} began; taken up ${takenUp.map(({ length }) => length).join(' and ')}, of which went on ${goneOnShares.map(share => share.toFixed(3)).join(' and ')}`)
    return { mixed, takenUp: takenUp.map(({ length }) => length), goneOnShares, begunShare }
  } finally {
    await world.close()
    await Promise.all(recorders.map(async recorder => { await recorder.close() }))
  }
}

/**
 * Guards against streams that nobody remembers once all gateways were killed, against a recorder that names a wrong version, and against a service that is drawn before recorders are
 * asked: the stream went on there at any version, which was then recorded as the one that began it.
 */
describe('streams that are taken up after all gateways were killed at once, while two versions serve and recorders run', () => {
  for (const [title, options, onLoss] of [
    ['go on at the version that began them', {}, async () => {}],
    ['go on at the service and the version that began them when their route is split between two services', { secondVersions: ['w1', 'w2'] }, async () => {}],
    ['go on at the version that began them when a recorder is lost at the same moment', {}, async ([first]) => {
      await first?.kill()
      first?.start()
    }]
  ] as ReadonlyArray<[string, VersionedFleetOptions, (recorders: readonly RecorderProcess[]) => Promise<void>]>) {
    it(title, async () => {
      const { mixed, takenUp, goneOnShares, begunShare } = await play(options, onLoss)
      expect(mixed).toEqual(0)
      expect(Math.min(...takenUp)).toBeGreaterThanOrEqual(MIN_TAKEN_UP)
      expect(Math.min(...goneOnShares)).toBeGreaterThanOrEqual(begunShare * MIN_RATIO)
    })
  }
})

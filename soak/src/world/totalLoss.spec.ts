import { describe, it } from 'node:test'
import type { Millis } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type CallerStream, pause, SECOND_SERVICE, VersionedFleet, type VersionedFleetOptions } from './versionedFleet.js'

const ALL = [0, 1, 2, 3]

/** Time for which streams begin before and after the kill. */
const BEFORE_MS: Millis = 2500
const AFTER_MS: Millis = 5000

/** Longest lifetime of a stream: far longer than a gateway takes to start on a busy machine, so that its callers still take it up. */
const STREAM_LIFETIME_MS: Millis = 12_000

/** Time for which the killed gateways are down. */
const DOWN_MS: Millis = 300

/** Streams that are taken up after a kill, at least, for a run to show anything. */
const MIN_TAKEN_UP = 12

/** How often streams from before the kill go on where their version is known, in relation to how often new ones begin. */
const MIN_RATIO = 0.9

interface Outcome {
  readonly mixed: number
  readonly takenUp: readonly CallerStream[]
  readonly begunShare: number
}

/** Lets streams begin before, during and after what `loss` does, and returns what became of them. */
const play = async (options: VersionedFleetOptions, loss: (world: VersionedFleet) => Promise<void>): Promise<Outcome> => {
  const world = await VersionedFleet.start({ ...options, streamLifetimeMs: STREAM_LIFETIME_MS })
  try {
    world.startStreams()
    await pause(BEFORE_MS)
    await loss(world)
    await pause(AFTER_MS)
    world.stopStreams()
    await pause(STREAM_LIFETIME_MS - AFTER_MS)
    const { streams } = world
    const mixed = streams.filter(({ versions }) => versions.size > 1).length
    const takenUp = streams.filter(({ takenUpAt }) => takenUpAt !== undefined)
    const begun = streams.filter(({ origin }) => origin !== undefined)
    console.log(`${streams.length} streams, ${mixed} of them mixed; ${takenUp.length} taken up, ${takenUp.filter(({ hasGoneOn }) => hasGoneOn).length} of which went on; ${begun.length} began`)
    return { mixed, takenUp, begunShare: begun.length / streams.length }
  } finally {
    await world.close()
  }
}

/** Guards against a gateway that takes the versions it found at its start for all that there were. */
describe('streams that are taken up after all gateways were killed at once', () => {
  for (const [title, options, loss] of [
    ['are never of two versions while both serve', {}, async world => {
      await world.killGateways(ALL)
      await pause(DOWN_MS)
      world.startGateways(ALL)
    }],
    ['are never of two versions when the old one has just left', {}, async world => {
      await world.killGateways(ALL)
      world.removeVersion('v1')
      await pause(DOWN_MS)
      world.startGateways(ALL)
    }],
    ['are never of two versions when one comes back under its old name', { versions: ['v1'] }, async world => {
      await world.startVersion('v2')
      await pause(BEFORE_MS / 2)
      world.removeVersion('v1')
      await pause(BEFORE_MS)
      await world.killGateways(ALL)
      world.removeVersion('v2')
      await world.startVersion('v1')
      await pause(DOWN_MS)
      world.startGateways(ALL)
    }],
    ['are never of two versions in the middle of a release, whichever part of it a gateway sees', {}, async world => {
      world.removeVersion('v1', 1)
      await world.killGateways(ALL)
      world.startGateways(ALL.slice(0, 2))
      await pause(DOWN_MS)
      world.removeVersion('v1')
      world.startGateways(ALL.slice(2))
    }]
  ] as ReadonlyArray<[string, VersionedFleetOptions, (world: VersionedFleet) => Promise<void>]>) {
    it(title, async () => {
      const { mixed, takenUp } = await play(options, loss)
      expect(mixed).toEqual(0)
      expect(takenUp.length).toBeGreaterThanOrEqual(MIN_TAKEN_UP)
    })
  }
})

/** Guards against a refusal of streams whose version a gateway still knows. */
describe('streams that are taken up after all gateways but one were killed at once', () => {
  it('go on at the version that began them, although the other one has left', async () => {
    const { mixed, takenUp, begunShare } = await play({}, async world => {
      const killed = ALL.slice(1)
      await world.killGateways(killed)
      world.removeVersion('v1')
      await pause(DOWN_MS)
      world.startGateways(killed)
    })
    const known = takenUp.filter(({ versions }) => !versions.has('v1'))
    const goneOnShare = known.filter(({ hasGoneOn }) => hasGoneOn).length / known.length
    expect(mixed).toEqual(0)
    expect(known.length).toBeGreaterThanOrEqual(MIN_TAKEN_UP)
    expect(goneOnShare).toBeGreaterThanOrEqual(MIN_RATIO * begunShare)
  })
})

/** Guards against a gateway that lets a stream go on at the service to which its route leads now, because the version that its peer names is not one of that service. */
describe('streams of a route that is split between two services, taken up after all gateways but one were killed at once', () => {
  it('go on at the service that began them, and are refused when the route does not lead there any more', async () => {
    const { mixed, takenUp, begunShare } = await play({ secondVersions: ['w1', 'w2'] }, async world => {
      const killed = ALL.slice(1)
      world.routeStreams([SECOND_SERVICE])
      await world.killGateways(killed)
      await pause(DOWN_MS)
      world.startGateways(killed)
    })
    const kept = takenUp.filter(({ versions }) => versions.has('w1') || versions.has('w2'))
    expect(mixed).toEqual(0)
    expect(Math.min(kept.length, takenUp.length - kept.length)).toBeGreaterThanOrEqual(MIN_TAKEN_UP)
    expect(kept.filter(({ hasGoneOn }) => hasGoneOn).length / kept.length).toBeGreaterThanOrEqual(MIN_RATIO * begunShare)
  })
})

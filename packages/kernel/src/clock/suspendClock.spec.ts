import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Clock } from './clock.js'
import { SuspendClock } from './suspendClock.js'

/** A clock whose monotonic and wall-clock readings are set by the test. */
const createClocks = () => {
  const readings = { now: 1000, wall: 50_000 }
  const clock: Clock = {
    now: () => readings.now,
    wall: () => readings.wall,
    after: () => ({ close: () => {} }),
    every: () => ({ close: () => {} })
  }
  return { readings, suspendClock: new SuspendClock(clock) }
}

describe('SuspendClock', () => {
  it('advances like the monotonic clock while both clocks run', () => {
    const { readings, suspendClock } = createClocks()
    const start = suspendClock.now()
    readings.now += 700
    readings.wall += 700
    expect(suspendClock.now() - start).toEqual(700)
  })

  it('adds time during which only the wall clock advanced', () => {
    const { readings, suspendClock } = createClocks()
    const start = suspendClock.now()
    readings.now += 10
    readings.wall += 5010
    expect(suspendClock.now() - start).toEqual(5010)
  })

  it('ignores a backward step of the wall clock and still counts later forward jumps', () => {
    const { readings, suspendClock } = createClocks()
    const start = suspendClock.now()
    readings.now += 100
    readings.wall -= 4000
    expect(suspendClock.now() - start).toEqual(100)
    readings.now += 10
    readings.wall += 3010
    expect(suspendClock.now() - start).toEqual(3110)
  })
})

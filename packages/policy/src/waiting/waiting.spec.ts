import { describe, it } from 'node:test'
import { expect } from 'earl'
import { compareQueued, remainingWait } from './waiting.js'

const REQUEST = { shareUse: 0.5, arrivedAt: 1000, latencyTargetMs: 800 }

describe('queueing at the gateway', () => {
  it('ends early enough to process the prompt within the target latency', () => {
    expect(remainingWait(REQUEST, 1000)).toBeGreaterThan(0)
    expect(remainingWait(REQUEST, 1000)).toBeLessThanOrEqual(400)
    expect(remainingWait(REQUEST, 1500)).toEqual(0)
  })

  it('is denied to a workspace far above its share', () => {
    expect(remainingWait({ ...REQUEST, shareUse: 3 }, 1000)).toEqual(0)
  })

  it('orders requests by least served workspace, then by arrival', () => {
    const later = { ...REQUEST, arrivedAt: 1010 }
    const leastServed = { ...REQUEST, shareUse: 0.1, arrivedAt: 1020 }
    expect([REQUEST, later, leastServed].sort(compareQueued)).toEqual([leastServed, REQUEST, later])
  })
})

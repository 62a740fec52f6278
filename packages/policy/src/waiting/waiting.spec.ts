import { describe, it } from 'node:test'
import { expect } from 'earl'
import { compareQueued, remainingWait } from './waiting.js'

const CALL = { usageRatio: 0.5, arrivedAt: 1000, latencyTargetMs: 800 }

describe('waiting at the router', () => {
  it('ends early enough to read the prompt within the target', () => {
    expect(remainingWait(CALL, 1000)).toBeGreaterThan(0)
    expect(remainingWait(CALL, 1000)).toBeLessThanOrEqual(400)
    expect(remainingWait(CALL, 1500)).toEqual(0)
  })

  it('is not offered to a workspace far beyond its share', () => {
    expect(remainingWait({ ...CALL, usageRatio: 3 }, 1000)).toEqual(0)
  })

  it('serves the least served workspace first, then who came first', () => {
    const later = { ...CALL, arrivedAt: 1010 }
    const hungry = { ...CALL, usageRatio: 0.1, arrivedAt: 1020 }
    expect([CALL, later, hungry].sort(compareQueued)).toEqual([hungry, CALL, later])
  })
})

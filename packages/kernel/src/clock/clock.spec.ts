import { describe, it } from 'node:test'
import { expect } from 'earl'
import { systemClock } from './clock.js'

const LONG_DELAYS_MS = [2 ** 31, 1e10, 1e300, Infinity]

describe('the system clock', () => {
  it('does not run a callback at once whose delay is longer than Node.js can wait', async () => {
    const ran: number[] = []
    const timers = LONG_DELAYS_MS.flatMap(delay => [systemClock.after(delay, () => { ran.push(delay) }), systemClock.every(delay, () => { ran.push(delay) })])
    await new Promise(resolve => { setTimeout(resolve, 30) })
    for (const timer of timers) timer.close()
    expect(ran).toEqual([])
  })
})

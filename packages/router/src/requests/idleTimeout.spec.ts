import { describe, it } from 'node:test'
import { ManualClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { IdleTimeout } from './idleTimeout.js'

describe('IdleTimeout', () => {
  it('expires only while the router waits for the caller, and restarts with each activity', () => {
    const clock = new ManualClock()
    let timeouts = 0
    const idleTimeout = new IdleTimeout(clock, 100, () => { timeouts += 1 })
    idleTimeout.restart()
    clock.advance(90)
    idleTimeout.restart()
    clock.advance(90)
    idleTimeout.stop()
    clock.advance(1_000)
    expect(timeouts).toEqual(0)
    idleTimeout.restart()
    clock.advance(100)
    expect(timeouts).toEqual(1)
  })
})

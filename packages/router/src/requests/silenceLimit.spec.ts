import { describe, it } from 'node:test'
import { ManualClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { SilenceLimit } from './silenceLimit.js'

describe('the silence of a caller', () => {
  it('ends the exchange only while it is the caller\'s turn, and counts anew with each sign of life', () => {
    const clock = new ManualClock()
    let ended = 0
    const silence = new SilenceLimit(clock, 100, () => { ended += 1 })
    silence.expect()
    clock.advance(90)
    silence.expect()
    clock.advance(90)
    silence.close()
    clock.advance(1_000)
    expect(ended).toEqual(0)
    silence.expect()
    clock.advance(100)
    expect(ended).toEqual(1)
  })
})

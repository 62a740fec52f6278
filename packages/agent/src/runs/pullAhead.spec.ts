import { describe, it } from 'node:test'
import { expect } from 'earl'
import { PullAhead } from './pullAhead.js'

describe('pulling ahead', () => {
  it('covers the time of a pull when runs are short', () => {
    const ahead = new PullAhead()
    ahead.noteTrip(4)
    ahead.noteRun(40)
    expect(ahead.count(4)).toEqual(1)
    expect(ahead.count(20)).toEqual(2)
  })

  it('does nothing when runs are long, or before anything was measured', () => {
    const ahead = new PullAhead()
    expect(ahead.count(8)).toEqual(0)
    ahead.noteTrip(2)
    ahead.noteRun(2_000)
    expect(ahead.count(8)).toEqual(0)
  })

  it('never takes more than the slots again, however slow the pulls are', () => {
    const ahead = new PullAhead()
    ahead.noteTrip(1_000)
    ahead.noteRun(10)
    expect(ahead.count(4)).toEqual(4)
  })
})

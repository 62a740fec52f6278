import { describe, it } from 'node:test'
import { expect } from 'earl'
import { drawSchedule } from './faultSchedule.js'

describe('the schedule of a soak', () => {
  it('is the same for the same seed', () => {
    expect(drawSchedule(7, 20_000)).toEqual(drawSchedule(7, 20_000))
    expect(drawSchedule(7, 20_000)).not.toEqual(drawSchedule(8, 20_000))
  })

  it('has overlapping faults of every subject, all over before the calm end', () => {
    const faults = Array.from({ length: 60 }, (_, seed) => drawSchedule(seed + 1, 20_000)).flat()
    expect(faults.every(({ at, length }) => at + length <= 20_001)).toEqual(true)
    expect(new Set(faults.map(({ kind }) => kind.subject)).size).toEqual(8)
    const one = drawSchedule(1, 60_000)
    expect(one.some((fault, nth) => (one[nth + 1]?.at ?? Infinity) < fault.at + fault.length)).toEqual(true)
  })
})

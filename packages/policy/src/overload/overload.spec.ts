import { describe, it } from 'node:test'
import { expect } from 'earl'
import { decideOverload, initialOverloadState } from './overload.js'
import type { OverloadState, AbandonmentSample } from './overloadTypes.js'

const OTHER_ROUTERS = { inSight: 5, out: 0 }
const BAD_SAMPLE: AbandonmentSample = { read: 180, abandoned: 100 }
const GOOD_SAMPLE: AbandonmentSample = { read: 80, abandoned: 2 }

/** Applies one sample a second, and returns the seconds in which the gateway is out of rotation. */
const outSeconds = (samples: readonly AbandonmentSample[], others = OTHER_ROUTERS, startedMsAgo = 60_000): number[] => {
  let state: OverloadState = initialOverloadState(-startedMsAgo)
  return samples.flatMap((sample, second) => {
    state = decideOverload(state, sample, others, second * 1000 + 1)
    return state.outUntil > 0 ? [second] : []
  })
}

const repeat = <T>(count: number, value: T): T[] => Array.from({ length: count }, () => value)

describe('a gateway that reads many abandoned requests', () => {
  it('goes out of rotation after two bad samples and returns', () => {
    expect(outSeconds([GOOD_SAMPLE, BAD_SAMPLE, BAD_SAMPLE, ...repeat(5, GOOD_SAMPLE)])).toEqual([2, 3, 4])
  })

  it('stays out for longer when it is still overloaded after its return', () => {
    const out = outSeconds(repeat(30, BAD_SAMPLE))
    expect(out.slice(0, 3)).toEqual([1, 2, 3])
    expect(out.length).toBeGreaterThan(18)
  })

  it('stays in rotation when the peer gateways of its zone cannot take over its callers', () => {
    expect(outSeconds(repeat(6, BAD_SAMPLE), { inSight: 0, out: 0 })).toEqual([])
    expect(outSeconds(repeat(6, BAD_SAMPLE), { inSight: 4, out: 2 })).toEqual([])
    expect(outSeconds(repeat(6, BAD_SAMPLE), { inSight: 4, out: 1 }).length).toBeGreaterThan(0)
  })
})

describe('a gateway that is not overloaded', () => {
  it('stays in rotation just after its start, with one bad sample, and with a few abandoned requests', () => {
    expect(outSeconds(repeat(6, BAD_SAMPLE), OTHER_ROUTERS, 0)).toEqual([])
    expect(outSeconds([BAD_SAMPLE, ...repeat(10, GOOD_SAMPLE)])).toEqual([])
    expect(outSeconds(repeat(10, { read: 60, abandoned: 6 }))).toEqual([])
  })
})

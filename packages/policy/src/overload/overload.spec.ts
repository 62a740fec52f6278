import { describe, it } from 'node:test'
import { expect } from 'earl'
import { decideOverload, initialOverloadState } from './overload.js'
import type { OverloadState, AbandonmentSample } from './overloadTypes.js'

const OTHERS = { inSight: 5, out: 0 }
const BAD: AbandonmentSample = { read: 180, abandoned: 100 }
const GOOD: AbandonmentSample = { read: 80, abandoned: 2 }

/** Takes a sample each second; tells in which seconds the router is out. */
const outSeconds = (samples: readonly AbandonmentSample[], others = OTHERS, startedMsAgo = 60_000): number[] => {
  let state: OverloadState = initialOverloadState(-startedMsAgo)
  return samples.flatMap((sample, second) => {
    state = decideOverload(state, sample, others, second * 1000 + 1)
    return state.outUntil > 0 ? [second] : []
  })
}

const repeat = <T>(count: number, value: T): T[] => Array.from({ length: count }, () => value)

describe('a router most of whose callers leave before they are read', () => {
  it('goes out within two samples and comes back after a while', () => {
    expect(outSeconds([GOOD, BAD, BAD, ...repeat(5, GOOD)])).toEqual([2, 3, 4])
  })

  it('stays out for longer when it is no better afterwards', () => {
    const out = outSeconds(repeat(30, BAD))
    expect(out.slice(0, 3)).toEqual([1, 2, 3])
    expect(out.length).toBeGreaterThan(18)
  })

  it('stays in when the others of its zone cannot take its callers', () => {
    expect(outSeconds(repeat(6, BAD), { inSight: 0, out: 0 })).toEqual([])
    expect(outSeconds(repeat(6, BAD), { inSight: 4, out: 2 })).toEqual([])
    expect(outSeconds(repeat(6, BAD), { inSight: 4, out: 1 }).length).toBeGreaterThan(0)
  })
})

describe('a router that is well', () => {
  it('stays in while it has just started, with one bad second, and with callers that leave now and then', () => {
    expect(outSeconds(repeat(6, BAD), OTHERS, 0)).toEqual([])
    expect(outSeconds([BAD, ...repeat(10, GOOD)])).toEqual([])
    expect(outSeconds(repeat(10, { read: 60, abandoned: 6 }))).toEqual([])
  })
})

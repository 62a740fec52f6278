import { describe, it } from 'node:test'
import { expect } from 'earl'
import { decideOverload, initialOverloadState } from './overload.js'
import type { OverloadSample, OverloadState, ZoneReadiness } from './overloadTypes.js'

const QUIET_ZONE: ZoneReadiness = { inSight: 5, out: 0, maxAccepted: 20, maxUtilization: 0.4 }
const WAITING: OverloadSample = { listenQueueWaitMs: 900, acceptedPerSecond: 250, read: 80, abandoned: 2 }
const ABANDONED: OverloadSample = { listenQueueWaitMs: 0, acceptedPerSecond: 250, read: 180, abandoned: 100 }
const GOOD: OverloadSample = { listenQueueWaitMs: 20, acceptedPerSecond: 40, read: 80, abandoned: 2 }

/** Applies one sample a second, and returns the seconds in which the gateway is out of rotation. */
const outSeconds = (samples: readonly OverloadSample[], zoneAt: (second: number) => ZoneReadiness = () => QUIET_ZONE, startedMsAgo = 60_000): number[] => {
  let state: OverloadState = initialOverloadState(-startedMsAgo)
  return samples.flatMap((sample, second) => {
    state = decideOverload(state, sample, zoneAt(second), second * 1000 + 1)
    return state.outSince !== undefined ? [second] : []
  })
}

const repeat = <T>(count: number, value: T): T[] => Array.from({ length: count }, () => value)

describe('a gateway that cannot accept connections in time, or reads many abandoned requests', () => {
  it('goes out of rotation after two bad samples and returns', () => {
    for (const bad of [WAITING, ABANDONED]) expect(outSeconds([GOOD, bad, bad, ...repeat(5, GOOD)])).toEqual([2, 3, 4])
  })

  it('stays out while a peer carries the load that it left, and returns when that ends', () => {
    const carried = (second: number): ZoneReadiness => ({ ...QUIET_ZONE, maxAccepted: second < 12 ? 400 : 20 })
    expect(outSeconds([WAITING, WAITING, ...repeat(18, GOOD)], carried)).toEqual([1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11])
  })

  it('stays out while a peer is pressed so much that it accepts little', () => {
    const carried = (second: number): ZoneReadiness => ({ ...QUIET_ZONE, maxAccepted: 60, maxUtilization: second < 12 ? 1 : 0.5 })
    expect(outSeconds([WAITING, WAITING, ...repeat(18, GOOD)], carried)).toEqual([1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11])
  })

  it('returns after two minutes whatever its peers carry', () => {
    const out = outSeconds([WAITING, WAITING, ...repeat(140, GOOD)], () => ({ ...QUIET_ZONE, maxAccepted: 400 }))
    expect(out.length).toEqual(120)
  })

  it('stays in rotation when the peer gateways of its zone cannot take over its callers', () => {
    expect(outSeconds(repeat(6, WAITING), () => ({ inSight: 0, out: 0, maxAccepted: 0, maxUtilization: 0 }))).toEqual([])
    expect(outSeconds(repeat(6, WAITING), () => ({ ...QUIET_ZONE, inSight: 4, out: 2 }))).toEqual([])
    expect(outSeconds(repeat(6, WAITING), () => ({ ...QUIET_ZONE, inSight: 4, out: 1 })).length).toBeGreaterThan(0)
  })
})

describe('a gateway that is not overloaded', () => {
  it('stays in rotation just after its start, with one bad sample, and with a few abandoned requests', () => {
    expect(outSeconds(repeat(6, WAITING), () => QUIET_ZONE, 0)).toEqual([])
    expect(outSeconds([WAITING, ...repeat(10, GOOD)])).toEqual([])
    expect(outSeconds(repeat(10, { ...GOOD, read: 60, abandoned: 6 }))).toEqual([])
  })
})

describe('the small gateways of a zone whose callers come as one load', () => {
  it('leave one after the other until a large one carries the load, and none returns before it ends', () => {
    const LOAD = 300
    const LOAD_ENDS_AT = 40
    const capacities = [100, 100, 100, 1000, 100, 100, 100]
    let states = capacities.map(() => initialOverloadState(-60_000))
    let changes = 0
    let carriers: number[] = []
    for (let second = 0; second < 60; second++) {
      const inRotation = states.flatMap(({ outSince }, index) => outSince === undefined ? [index] : [])
      const load = second < LOAD_ENDS_AT ? LOAD : 30
      const [carrier] = inRotation
      carriers = [...carriers, carrier ?? -1]
      const accepted = capacities.map((capacity, index) => index === carrier ? Math.min(load, capacity * 1.5) : 10)
      states = states.map((state, index) => {
        const others = states.filter((_, other) => other !== index)
        const zone = { inSight: others.length, out: others.filter(({ outSince }) => outSince !== undefined).length, maxAccepted: Math.max(...accepted.filter((_, other) => other !== index)), maxUtilization: 0.5 }
        const isPressed = index === carrier && load > (capacities[index] ?? 0)
        const next = decideOverload(state, { ...GOOD, listenQueueWaitMs: isPressed ? 900 : 5, acceptedPerSecond: accepted[index] ?? 0 }, zone, second * 1000)
        if ((next.outSince === undefined) !== (state.outSince === undefined)) changes += 1
        return next
      })
    }
    expect(carriers.slice(10, LOAD_ENDS_AT).every(carrier => carrier === 3)).toEqual(true)
    expect(changes).toEqual(6)
    expect(states.every(({ outSince }) => outSince === undefined)).toEqual(true)
  })
})

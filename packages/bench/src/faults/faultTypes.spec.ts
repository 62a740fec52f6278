import { describe, it } from 'node:test'
import { expect } from 'earl'
import { UnknownFaultError, scheduleFaults, spanOfFaults } from './faultTypes.js'
import { visibleFrom } from './outOfService.js'

describe('the schedule of faults', () => {
  it('starts the second fault of a pair one second after the first', () => {
    const faults = scheduleFaults('zone-out+config-down', false, 60_000)
    expect(faults.map(({ kind, spans }) => [kind, spans[0]?.from])).toEqual([['zone-out', 18_000], ['config-down', 19_000]])
    expect(spanOfFaults(faults)).toEqual({ from: 18_000, to: 37_000 })
  })

  it('gives each fault two spans when it is repeated', () => {
    expect(scheduleFaults('flood', true, 100)[0]?.spans).toEqual([{ from: 25, to: 40 }, { from: 50, to: 65 }])
  })

  it('rejects an unknown name', () => {
    expect(() => scheduleFaults('none+nope', false, 1)).toThrow(UnknownFaultError)
  })
})

describe('a take-out', () => {
  const out = { kind: 'zone-out', from: 10, to: 40 } as const

  it('is visible from its publication, or from the end of a fault under which the configuration service could not serve it', () => {
    expect(visibleFrom(out, [out, { kind: 'config-down', from: 11, to: 50 }])).toEqual(10)
    expect(visibleFrom(out, [out, { kind: 'config-stale', from: 5, to: 30 }])).toEqual(30)
  })
})

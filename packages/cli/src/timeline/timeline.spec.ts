import { describe, it } from 'node:test'
import type { AdminResponse } from '@fuchsiaworks/admin'
import { asId, type RequestEvent, type TimeLineEntry } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { mergeTimelines } from './mergeTimelines.js'
import { parseDuration } from './parseDuration.js'
import { sequenceDiagram } from './sequenceDiagram.js'
import { timelineTable } from './timelineTable.js'

type TimelineResponse = AdminResponse<'timeline'>

const requestEvent = (kind: RequestEvent['kind'], detail?: string): RequestEvent => ({
  kind,
  request: asId('q1'),
  workspace: asId('town'),
  service: asId('writer'),
  upstream: asId('w1'),
  ...detail === undefined ? {} : { detail }
})

const entry = (host: string, seq: number, at: number, event: TimeLineEntry['event']): TimeLineEntry =>
  ({ host: asId(host), incarnation: asId(`incarnation of ${host}`), seq, at, event })

const timelineOf = (host: string, role: 'router' | 'agent', entries: TimeLineEntry[], clocks: Array<[string, number, number]>): TimelineResponse => ({
  host: asId(host),
  role,
  wallMs: 0,
  entries,
  clocks: clocks.map(([peer, clockOffsetMs, roundTripMs]) => ({ peer: asId(peer), clockOffsetMs, roundTripMs }))
})

/** The clock of the agent is 500 ms ahead of the router's. */
const router = timelineOf('r1', 'router', [
  entry('r1', 0, 1000, requestEvent('request-received', 'POST; /v1/x')),
  entry('r1', 1, 1002, requestEvent('request-handed-over')),
  entry('r1', 2, 1030, requestEvent('request-ended', '200'))
], [['a1', 500, 2]])
const agent = timelineOf('a1', 'agent', [
  entry('a1', 0, 1505, requestEvent('request-started')),
  entry('a1', 1, 1520, requestEvent('request-first-byte'))
], [])

describe('mergeTimelines', () => {
  it('orders entries by corrected time and removes duplicates', () => {
    const { entries } = mergeTimelines([router, agent, router])
    expect(entries.map(({ event }) => event.kind)).toEqual(
      ['request-received', 'request-handed-over', 'request-started', 'request-first-byte', 'request-ended'])
  })

  it('keeps the order of the entries of each process even if its clock was set back', () => {
    fc.assert(fc.property(fc.array(fc.nat(100)), fc.array(fc.nat(100)), (first, second) => {
      const pause = { kind: 'pause-seen', length: 1 } as const
      const responses = [timelineOf('x', 'router', first.map((at, seq) => entry('x', seq, at, pause)), [['y', 7, 1]]),
        timelineOf('y', 'agent', second.map((at, seq) => entry('y', seq, at, pause)), [])]
      const { entries } = mergeTimelines(responses)
      expect(entries.filter(({ host }) => host === 'x').map(({ seq }) => seq)).toEqual(first.map((_at, seq) => seq))
      expect(entries.length).toEqual(first.length + second.length)
    }), { seed: 11 })
  })

  it('moves effects after their causes within the uncertainty of the clocks, but not beyond', () => {
    /** Merges a handover at 10 ms with a start that the agent recorded at `agentAt`; the clock offset is 0 ms, within 3 ms. */
    const mergeHandover = (agentAt: number): string[] => {
      const receiver = timelineOf('a1', 'agent', [entry('a1', 0, agentAt, requestEvent('request-started')), entry('a1', 1, agentAt, requestEvent('request-ended'))], [])
      const sender = timelineOf('r1', 'router', [entry('r1', 0, 10, requestEvent('request-handed-over')), entry('r1', 1, 10, requestEvent('request-ended'))], [['a1', 0, 6]])
      return mergeTimelines([sender, receiver]).entries.map(({ role, event }) => `${role} ${event.kind}`)
    }
    expect(mergeHandover(8)).toEqual(['router request-handed-over', 'agent request-started', 'agent request-ended', 'router request-ended'])
    expect(mergeHandover(5)[0]).toEqual('agent request-started')
  })

  it('uses the path of links with the smallest clock error, even via a host that did not respond', () => {
    const remote = timelineOf('z', 'agent', [entry('z', 0, 100, { kind: 'pause-seen', length: 1 })], [['via', -5, 1]])
    const reference = timelineOf('x', 'router', [], [['z', 90, 40], ['via', 10, 1]])
    expect(mergeTimelines([reference, remote]).entries[0]?.time).toEqual(85)
  })

  it('marks the times of a process whose clock offset is unknown', () => {
    const unlinked = timelineOf('z', 'agent', [entry('z', 0, 100, { kind: 'pause-seen', length: 1 })], [])
    expect(timelineTable(mergeTimelines([router, unlinked]))[1]?.startsWith('1970-01-01T00:00:00.100Z?')).toEqual(true)
  })

  it('yields the steps of one request for a sequence diagram', () => {
    expect(sequenceDiagram(mergeTimelines([router, agent]).entries, asId('q1'))).toEqual([
      'sequenceDiagram',
      '  participant p0 as caller',
      '  participant p1 as r1',
      '  participant p2 as a1',
      '  participant p3 as upstream w1',
      '  p0->>p1: received POST  /v1/x',
      '  p1->>p2: handed over',
      '  p2->>p3: started',
      '  p3-->>p2: first byte',
      '  p1-->>p0: ended 200'
    ])
  })
})

describe('parseDuration', () => {
  it('requires a number and a unit', () => {
    expect(['30s', '250ms', '1.5m', '1h'].map(parseDuration)).toEqual([30_000, 250, 90_000, 3_600_000])
    expect(() => parseDuration('30')).toThrow('"30" is not a duration')
  })
})

import { describe, it } from 'node:test'
import type { AdminResponse } from '@fuchsiaworks/admin'
import { asId, type RequestEvent, type TimeLineEntry } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { mergeTimelines } from './mergeTimelines.js'
import { parseSpan } from './parseSpan.js'
import { sequenceDiagram } from './sequenceDiagram.js'
import { timelineTable } from './timelineTable.js'

type Answer = AdminResponse<'timeline'>

const requestEvent = (kind: RequestEvent['kind'], detail?: string): RequestEvent => ({
  kind,
  request: asId('q1'),
  workspace: asId('town'),
  service: asId('writer'),
  upstream: asId('w1'),
  ...detail === undefined ? {} : { detail }
})

const entry = (host: string, seq: number, at: number, event: TimeLineEntry['event']): TimeLineEntry =>
  ({ host: asId(host), incarnation: asId(`life of ${host}`), seq, at, event })

const answer = (host: string, role: 'router' | 'agent', entries: TimeLineEntry[], clocks: Array<[string, number, number]>): Answer => ({
  host: asId(host),
  role,
  wallMs: 0,
  entries,
  clocks: clocks.map(([peer, clockOffsetMs, roundTripMs]) => ({ peer: asId(peer), clockOffsetMs, roundTripMs }))
})

/** The clock of the agent is 500 ms ahead of the router's. */
const router = answer('r1', 'router', [
  entry('r1', 0, 1000, requestEvent('request-received', 'POST; /v1/x')),
  entry('r1', 1, 1002, requestEvent('request-handed-over')),
  entry('r1', 2, 1030, requestEvent('request-ended', '200'))
], [['a1', 500, 2]])
const agent = answer('a1', 'agent', [
  entry('a1', 0, 1505, requestEvent('request-started')),
  entry('a1', 1, 1520, requestEvent('request-first-byte'))
], [])

describe('merged time lines', () => {
  it('order the entries by corrected clocks, each once', () => {
    const { entries } = mergeTimelines([router, agent, router])
    expect(entries.map(({ event }) => event.kind)).toEqual(
      ['request-received', 'request-handed-over', 'request-started', 'request-first-byte', 'request-ended'])
  })

  it('keep the order of each process, whatever its clock did', () => {
    fc.assert(fc.property(fc.array(fc.nat(100)), fc.array(fc.nat(100)), (first, second) => {
      const pause = { kind: 'pause-seen', length: 1 } as const
      const answers = [answer('x', 'router', first.map((at, seq) => entry('x', seq, at, pause)), [['y', 7, 1]]),
        answer('y', 'agent', second.map((at, seq) => entry('y', seq, at, pause)), [])]
      const { entries } = mergeTimelines(answers)
      expect(entries.filter(({ host }) => host === 'x').map(({ seq }) => seq)).toEqual(first.map((_at, seq) => seq))
      expect(entries.length).toEqual(first.length + second.length)
    }), { seed: 11 })
  })

  it('put effects behind their causes as far as the clocks are uncertain, and no further', () => {
    const handover = (agentAt: number): string[] => {
      const receiver = answer('a1', 'agent', [entry('a1', 0, agentAt, requestEvent('request-started')), entry('a1', 1, agentAt, requestEvent('request-ended'))], [])
      const sender = answer('r1', 'router', [entry('r1', 0, 10, requestEvent('request-handed-over')), entry('r1', 1, 10, requestEvent('request-ended'))], [['a1', 0, 6]])
      return mergeTimelines([sender, receiver]).entries.map(({ role, event }) => `${role} ${event.kind}`)
    }
    expect(handover(8)).toEqual(['router request-handed-over', 'agent request-started', 'agent request-ended', 'router request-ended'])
    expect(handover(5)[0]).toEqual('agent request-started')
  })

  it('take the most certain path to a clock, also over a process that did not answer', () => {
    const far = answer('z', 'agent', [entry('z', 0, 100, { kind: 'pause-seen', length: 1 })], [['via', -5, 1]])
    const near = answer('x', 'router', [], [['z', 90, 40], ['via', 10, 1]])
    expect(mergeTimelines([near, far]).entries[0]?.time).toEqual(85)
  })

  it('mark the times of a process whose clock offset nobody knows', () => {
    const lost = answer('z', 'agent', [entry('z', 0, 100, { kind: 'pause-seen', length: 1 })], [])
    expect(timelineTable(mergeTimelines([router, lost]))[1]?.startsWith('1970-01-01T00:00:00.100Z?')).toEqual(true)
  })

  it('draw one request as a sequence diagram', () => {
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

describe('a span', () => {
  it('has a number and a unit', () => {
    expect(['30s', '250ms', '1.5m', '1h'].map(parseSpan)).toEqual([30_000, 250, 90_000, 3_600_000])
    expect(() => parseSpan('30')).toThrow('"30" is no span')
  })
})

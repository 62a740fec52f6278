import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { RequestResult, ResultKind } from '../load/loadTypes.js'
import { measureCorrectness } from './correctness.js'
import { type ServedWorkspace, coveredSteps, measureGap } from './fairnessGap.js'
import { leastShare } from './leastShare.js'
import { union } from './intervals.js'
import { summariseLatency } from './latency.js'
import { phaseOf } from './phases.js'
import { idleWhileWaiting } from './utilisation.js'
import { type Measures, judgeRun } from './verdicts.js'

const SEED = 7

const resultOf = (nonce: string, result: ResultKind, kind: 'get' | 'post' = 'post'): RequestResult => ({
  planned: { nonce, workspace: 'w', service: 's', kind, router: 0, at: 0, size: 1, filler: '' },
  result,
  status: 200,
  detail: '',
  intendedAt: 0,
  firstByteAt: undefined,
  endedAt: 0
})

describe('the fairness gap', () => {
  const served = (workspace: string, weight: number, values: number[], backlogged = values.map(() => true)): ServedWorkspace =>
    ({ workspace, weight, served: values, backlogged })

  it('is zero when service follows the weights', () => {
    expect(measureGap([served('a', 2, [4, 8]), served('b', 1, [2, 4])]).gap).toEqual(0)
  })

  it('finds the largest gap over any interval, not only over the whole run', () => {
    const gap = measureGap([served('a', 1, [0, 5, 5, 0]), served('b', 1, [5, 0, 0, 5])])
    expect([gap.gap, gap.pair]).toEqual([10, ['a', 'b']])
  })

  it('starts again from zero after a step in which one workspace of the pair was not backlogged', () => {
    expect(measureGap([served('a', 1, [9, 0, 3], [true, false, true]), served('b', 1, [0, 0, 0])]).gap).toEqual(9)
  })

  it('equals the largest difference over any interval, found by brute force', () => {
    const steps = fc.array(fc.tuple(fc.nat(9), fc.nat(9)), { minLength: 1, maxLength: 12 })
    fc.assert(fc.property(steps, pairs => {
      let worst = 0
      for (let from = 0; from < pairs.length; from++) {
        for (let to = from + 1; to <= pairs.length; to++) {
          worst = Math.max(worst, Math.abs(pairs.slice(from, to).reduce((sum, [a, b]) => sum + a - b, 0)))
        }
      }
      expect(measureGap([served('a', 1, pairs.map(([a]) => a)), served('b', 1, pairs.map(([, b]) => b))]).gap).toEqual(worst)
    }), { seed: SEED })
  })
})

describe('the least share', () => {
  const served = (workspace: string, weight: number, value: number, waits = true): ServedWorkspace =>
    ({ workspace, weight, served: Array.from({ length: 60 }, () => value), backlogged: Array.from({ length: 60 }, () => waits) })

  it('is one when service follows the weights, and otherwise the ratio of the least served workspace', () => {
    expect(leastShare([served('a', 2, 4), served('b', 1, 2)])).toEqual(1)
    expect(leastShare([served('a', 1, 3), served('b', 1, 1)])).toEqual(0.5)
  })

  it('leaves out workspaces that are not backlogged', () => {
    expect(leastShare([served('a', 1, 3), served('b', 1, 3), served('c', 1, 0, false)])).toEqual(1)
  })
})

describe('intervals', () => {
  it('are merged where they touch, and cover a step only completely', () => {
    const joined = union([{ from: 20, to: 30 }, { from: 0, to: 10 }, { from: 5, to: 20 }, { from: 40, to: 40 }])
    expect(joined).toEqual([{ from: 0, to: 30 }])
    expect(coveredSteps(joined, 0, 10, 4)).toEqual([true, true, true, false])
  })
})

describe('idle slots', () => {
  it('count only while a request waits', () => {
    const runs = [{ from: 0, to: 10 }, { from: 0, to: 5 }]
    expect(idleWhileWaiting(runs, [{ from: 4, to: 8 }], 2)).toEqual({ waited: 4, idleShare: 3 / 8 })
    expect(idleWhileWaiting(runs, [], 2)).toEqual({ waited: 0, idleShare: 0 })
  })
})

describe('latency', () => {
  it('is summarised with the precision of the histogram', () => {
    const summary = summariseLatency(Array.from({ length: 100 }, (_, index) => index + 1))
    expect([summary.p50, summary.p95, summary.max].map(Math.round)).toEqual([50, 95, 100])
    expect(summariseLatency([]).p99).toEqual(0)
  })

  it('belongs to the phase of the intended time of sending', () => {
    expect([0, 10, 20].map(at => phaseOf(at, { from: 10, to: 20 }))).toEqual(['before', 'during', 'after'])
  })
})

describe('correctness', () => {
  const run = (nonce: string, startedAt: number): { nonce: string, startedAt: number } => ({ nonce, startedAt })
  const factsOf = (runs: object[]): never => [{ upstream: { id: 'u' }, runs }] as never

  it('finds duplicate runs of non-idempotent requests only, and runs of requests that were reported as not run', () => {
    const results = [resultOf('a', 'right'), resultOf('b', 'right', 'get'), resultOf('c', 'not-run')]
    const found = measureCorrectness(results, factsOf([run('a', 1), run('a', 2), run('b', 1), run('b', 2), run('c', 1)]), [])
    expect([found.doubleRuns, found.falseNotRun]).toEqual([['a'], ['c']])
  })

  it('counts runs that begin later than the limit after an upstream was taken out', () => {
    const facts = factsOf([run('a', 1100), run('b', 3999), run('c', 4001), run('d', 9001)])
    expect(measureCorrectness([], facts, [{ from: 1000, to: 9000, upstreams: ['u'] }]).lateRuns).toEqual(1)
  })
})

describe('verdicts', () => {
  const good: Measures = {
    faults: ['none'],
    sufficient: true,
    correctness: { wrong: 0, cut: 0, failed: 0, doubleRuns: [], falseNotRun: [], lateRuns: 0 },
    fairness: [],
    fleetFairness: [],
    utilisation: [],
    idleUse: [],
    phases: [],
    crashes: 0,
    memberFailures: 0
  }
  const failing = (measures: Partial<Measures>): string[] =>
    judgeRun({ ...good, ...measures }).filter(({ pass }) => !pass).map(({ name }) => name)

  it('pass a run without faults', () => {
    expect(failing({})).toEqual([])
  })

  it('fail violations of correctness under every fault', () => {
    const correctness = { ...good.correctness, doubleRuns: ['a'], falseNotRun: ['b'], wrong: 1, lateRuns: 1 }
    expect(failing({ faults: ['router-kill'], correctness }).length).toEqual(4)
  })

  it('allow a truncated response only under faults that may truncate responses', () => {
    const correctness = { ...good.correctness, cut: 1 }
    expect(failing({ faults: ['router-kill'], correctness })).toEqual([])
    expect(failing({ faults: ['router-stop'], correctness })).toEqual(['answers cut'])
  })
})

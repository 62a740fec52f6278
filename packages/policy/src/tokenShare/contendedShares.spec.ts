import { describe, it } from 'node:test'
import { asId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { decideShare } from './tokenShare.js'
import { TokenShareDb } from './tokenShareDb.js'

const WINDOW_MS = 4000
const ENGINES = 8
/** Tokens that one engine processes in a millisecond, and those that wait there when it is full. */
const ENGINE_RATE = 10
const FULL_WAIT = 8000
const REQUEST_TOKENS = 2000
const STEP_MS = 5
const RUN_MS = 20_000
const SETTLED_MS = 8000

interface Workload {
  readonly workspace: WorkspaceId
  /** Requested tokens per millisecond. */
  readonly rate: number
  /** Engines that have the workspace's prompts cached; its requests go to the least loaded of them. */
  readonly engines: readonly number[]
}

const workload = (name: string, rate: number, engines: readonly number[]): Workload => ({ workspace: asId<WorkspaceId>(name), rate, engines })

const ALL_ENGINES = Array.from({ length: ENGINES }, (_, engine) => engine)

/** Plays the workloads and returns the tokens served to each per second, after the first seconds. */
const play = (configuredPerMs: number, workloads: readonly Workload[]): Map<string, number> => {
  const db = new TokenShareDb({ windowMs: WINDOW_MS })
  db.capacityPerSecond = configuredPerMs * 1000
  const waiting = ALL_ENGINES.map(() => 0)
  const due = workloads.map(() => 0)
  const served = new Map<string, number>(workloads.map(({ workspace }) => [workspace, 0]))
  for (let now = 0; now < RUN_MS; now += STEP_MS) {
    for (const engine of ALL_ENGINES) waiting[engine] = Math.max(0, waiting[engine]! - ENGINE_RATE * STEP_MS)
    workloads.forEach(({ workspace, rate, engines }, index) => {
      for (due[index]! += rate * STEP_MS; due[index]! >= REQUEST_TOKENS; due[index]! -= REQUEST_TOKENS) {
        db.recordRequested(workspace, REQUEST_TOKENS, now)
        const engine = engines.reduce((best, other) => waiting[other]! < waiting[best]! ? other : best)
        if (decideShare(db, { workspace, tokens: REQUEST_TOKENS, pressure: waiting[engine]! / FULL_WAIT }, now).kind !== 'admit') continue
        db.recordServed(workspace, REQUEST_TOKENS, now)
        waiting[engine]! += REQUEST_TOKENS
        if (now >= SETTLED_MS) served.set(workspace, served.get(workspace)! + REQUEST_TOKENS * 1000 / (RUN_MS - SETTLED_MS))
      }
    })
  }
  return served
}

/** A workspace that floods all engines, and three with a third of its rate and prompts cached at some engines only. */
const CONTENDED = [
  workload('flood', 120, ALL_ENGINES),
  workload('a', 40, [0, 1, 2]),
  workload('b', 40, [2, 3, 4]),
  workload('c', 40, [5, 6])
]

describe('token shares of contending workspaces', () => {
  const REAL_PER_MS = ENGINES * ENGINE_RATE

  for (const [name, configuredPerMs] of [['as configured', 1], ['twice of the configured', 0.5], ['a third of the configured', 3]].map(([label, factor]) => [String(label), Number(factor) * REAL_PER_MS] as const)) {
    it(`stay within a factor of two while one of them floods, when the engines process ${name}`, () => {
      const served = play(configuredPerMs, CONTENDED)
      for (const other of ['a', 'b', 'c']) expect(served.get('flood')! / served.get(other)!).toBeLessThan(2)
    })
  }

  it('leave no engine idle', () => {
    for (const factor of [0.5, 1, 3]) {
      const total = [...play(factor * REAL_PER_MS, CONTENDED).values()].reduce((sum, tokens) => sum + tokens, 0)
      expect(total).toBeGreaterThan(REAL_PER_MS * 1000 * 0.95)
    }
  })

  it('let a workspace alone use all of the capacity', () => {
    for (const factor of [0.5, 1, 3]) expect(play(factor * REAL_PER_MS, [workload('only', 120, ALL_ENGINES)]).get('only')!).toBeGreaterThan(REAL_PER_MS * 1000 * 0.95)
  })
})

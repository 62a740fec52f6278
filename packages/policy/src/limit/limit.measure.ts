/** Compares the adaptive limit with fixed limits and AIMD on simulated engines: `node packages/policy/dist/limit/limit.measure.js`. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { decideLimit } from './limit.js'
import { LimitDb } from './limitDb.js'
import { quantile } from './latencyWindow.js'
import type { LimitEvent } from './limitTypes.js'
import { UpstreamModel } from './upstreamModel.js'

/** Simulated milliseconds of one step. */
const STEP_MS = 50

/** Simulated milliseconds of one run; the engine loses its warm state halfway through. */
const RUN_MS = 600_000

const FIRST_TOKEN_TARGET_MS = 1_700
const TOKEN_GAP_TARGET_MS = 59
/** Knees of the simulated engines, in concurrent requests. */
const KNEES = [10, 20, 40, 80, 160]
const RUNS_PER_KNEE = 4

/** Algorithm that sets the concurrency limit. */
interface Limiter {
  handle: (event: LimitEvent, random: number) => void
  limit: (now: number) => number
}

const fixed = (limit: number): Limiter => ({ handle: () => {}, limit: () => limit })

/** Additive increase, multiplicative decrease: adds 1 after each `limit` completions, halves on a late sample, at most once a second. */
const aimd = (): Limiter => {
  let limit = 2
  let completions = 0
  let decreasedAt = 0
  const isLate = (event: LimitEvent): boolean =>
    (event.kind === 'first-byte' && event.latency > FIRST_TOKEN_TARGET_MS) || (event.kind === 'token-gap' && event.gap > TOKEN_GAP_TARGET_MS) || event.kind === 'failed'
  return {
    handle: event => {
      if (isLate(event) && event.now - decreasedAt > 1_000) {
        limit = Math.max(1, limit / 2)
        decreasedAt = event.now
      }
      if (event.kind === 'ended') completions += 1
      if (completions < limit) return
      completions = 0
      limit += 1
    },
    limit: () => Math.floor(limit)
  }
}

const adaptive = (): Limiter => {
  const target = { kind: 'model', firstToken: FIRST_TOKEN_TARGET_MS, tokenGap: TOKEN_GAP_TARGET_MS } as const
  const db = new LimitDb({ target, coldConcurrency: 2, hardCap: 1_024, probeBaseMs: 500, probeMaxMs: 10_000 })
  const send = (event: LimitEvent): void => {
    const probe = decideLimit(db, event).some(command => command.kind === 'probe')
    if (probe) send({ kind: 'probe-ended', now: event.now, ok: true })
  }
  return { handle: send, limit: now => db.effectiveLimit(now) }
}

interface Result {
  /** Share of the latency samples that missed the target. */
  readonly lateShare: number
  /** 95th percentile of the token gaps, as a multiple of the target. */
  readonly gapP95: number
  readonly completed: number
  readonly crashCount: number
  /** Requests that were running when the engine crashed. */
  readonly lost: number
}

const run = (knee: number, seed: number, crashFactor: number, limiter: Limiter): Result => {
  const source = xoroshiro128plus(seed)
  const random = (): number => (source.next() >>> 0) / 2 ** 32
  const coldShare = Math.max(0.1, 2 / knee)
  const model = new UpstreamModel({ knee, coldShare, warmAfter: 100, crashFactor, tokens: 120, random })
  const gaps: number[] = []
  let late = 0
  let samples = 0
  let lost = 0
  for (let now = STEP_MS; now <= RUN_MS; now += STEP_MS) {
    if (now === RUN_MS / 2) model.makeCold()
    for (const event of model.step(now, STEP_MS)) {
      if (event.kind === 'failed') lost += 1
      if (event.kind === 'token-gap') gaps.push(event.gap / TOKEN_GAP_TARGET_MS)
      if (event.kind === 'token-gap' || event.kind === 'first-byte') samples += 1
      if ((event.kind === 'token-gap' && event.gap > TOKEN_GAP_TARGET_MS) || (event.kind === 'first-byte' && event.latency > FIRST_TOKEN_TARGET_MS)) late += 1
      limiter.handle(event, random())
    }
    limiter.handle({ kind: 'tick', now, random: random() }, random())
    while (model.running.size < limiter.limit(now)) limiter.handle(model.start(now), random())
  }
  return { lateShare: late / Math.max(1, samples), gapP95: quantile(gaps, 0.95), completed: model.completed, crashCount: model.crashCount, lost }
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

const limiters: ReadonlyArray<readonly [name: string, make: (knee: number) => Limiter]> = [
  ['fixed at half the knee', knee => fixed(Math.floor(knee / 2))],
  ['fixed at the knee', knee => fixed(knee)],
  ['fixed at twice the knee', knee => fixed(2 * knee)],
  ['AIMD', () => aimd()],
  ['adaptive limit', () => adaptive()]
]

const compare = (crashFactor: number): unknown[] => limiters.map(([name, make]) => {
  const runs = KNEES.flatMap(knee => Array.from({ length: RUNS_PER_KNEE }, (_, n) => ({ knee, ...run(knee, 1_000 * knee + n, crashFactor, make(knee)) })))
  return {
    way: name,
    'late samples %': (100 * mean(runs.map(result => result.lateShare))).toFixed(1),
    'p95 token gap / target': mean(runs.map(result => result.gapP95)).toFixed(2),
    'completed per knee': mean(runs.map(result => result.completed / result.knee)).toFixed(0),
    crashes: mean(runs.map(result => result.crashCount)).toFixed(1),
    'lost requests': mean(runs.map(result => result.lost)).toFixed(0)
  }
})
console.log('engines that crash at twice their capacity:')
console.table(compare(2))
console.log('engines that slow down under overload but do not crash:')
console.table(compare(Infinity))

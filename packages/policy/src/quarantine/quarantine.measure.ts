/** Measures the quarantine against simpler rules: `node packages/policy/dist/quarantine/quarantine.measure.js`. */
import { asId, type Fingerprint, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { mayRunConcurrently } from './isolation.js'
import { decideQuarantine } from './quarantine.js'
import { QuarantineDb } from './quarantineDb.js'
import type { RequestFingerprint } from './quarantineTypes.js'

const UPSTREAMS = 6
const SLOTS = 16
const STEP_MS = 100
const RUN_MS = 600_000
/** Mean milliseconds of one request. */
const SERVICE_MS = 4_000
/** Milliseconds until an ended upstream serves again. */
const RESTART_MS = 10_000
/** Milliseconds after which the caller of a request that ended an upstream, or was refused, sends it again. */
const RESEND_MS = 3_000
/** Milliseconds after which a caller stops waiting. */
const PATIENCE_MS = 60_000
/** Share of all slots that innocent requests fill. */
const LOAD = 0.7
const SUSPECT_FOR_MS = 60_000
const REFUSE_FOR_MS = 600_000

type Rule = 'none' | 'count upstreams' | 'alone'

interface Job {
  readonly print: RequestFingerprint
  readonly guilty: boolean
  readonly since: number
  readonly length: number
  suspect: boolean
}

interface Running { readonly job: Job, readonly endsAt: number }

const simulate = (rule: Rule, guiltyCount: number, seed: number): { ended: number, refused: number, gaveUp: number, alone: number, utilisation: number } => {
  const source = xoroshiro128plus(seed)
  const random = (): number => (source.next() >>> 0) / 2 ** 32
  const db = new QuarantineDb({ crashes: 2, suspectMs: SUSPECT_FOR_MS, refuseMs: REFUSE_FOR_MS, maxPerWorkspace: 256 })
  const counts = new Map<string, number>()
  const upstreams = Array.from({ length: UPSTREAMS }, () => ({ running: [] as Running[], downUntil: 0, draining: false }))
  const later: Array<{ at: number, job: Job }> = []
  let queue: Job[] = []
  const result = { ended: 0, refused: 0, gaveUp: 0, alone: 0, utilisation: 0 }
  let serial = 0
  const make = (now: number, guilty: boolean): Job => ({
    print: { workspace: asId<WorkspaceId>(`w${Math.floor(random() * 16)}`), fingerprint: asId<Fingerprint>(`f${serial++}`) },
    guilty,
    since: now,
    length: guilty ? 300 : SERVICE_MS * (0.25 + 1.5 * random()),
    suspect: false
  })
  const admit = (job: Job, now: number): void => {
    const verdict = rule === 'alone' ? decideQuarantine(db, { kind: 'request-arrived', now, ...job.print })[0]?.kind : 'admit'
    const refused = verdict === 'refuse' || (rule === 'count upstreams' && (counts.get(job.print.fingerprint) ?? 0) >= 2)
    if (refused && !job.guilty) result.refused += 1
    if (refused) later.push({ at: now + RESEND_MS, job })
    else queue.push({ ...job, suspect: verdict === 'isolate' })
  }
  const end = (upstream: typeof upstreams[number], now: number): void => {
    result.ended += 1
    const alone = upstream.running.length === 1
    for (const { job } of upstream.running) {
      counts.set(job.print.fingerprint, (counts.get(job.print.fingerprint) ?? 0) + 1)
      const at = { now, ...job.print, upstream: asId<UpstreamId>('u') }
      decideQuarantine(db, { kind: 'crash-reported', ...at, crash: `c${result.ended}`, alone, from: 'agent' })
      later.push({ at: now + RESEND_MS, job: { ...job, since: now } })
    }
    upstream.running = []
    upstream.downUntil = now + RESTART_MS
    upstream.draining = false
  }
  const start = (upstream: typeof upstreams[number], now: number): void => {
    const oldest = queue.find(job => job.suspect)
    if (oldest !== undefined && !upstreams.some(each => each.draining || each.running.some(one => one.job.suspect))) upstream.draining = true
    while (upstream.running.length < SLOTS) {
      const occupancy = { running: upstream.running.length, suspectRunning: upstream.running.some(one => one.job.suspect) }
      const next = queue.find(job => job.suspect === upstream.draining && mayRunConcurrently(occupancy, job.suspect))
      if (next === undefined) break
      queue = queue.filter(job => job !== next)
      upstream.running.push({ job: next, endsAt: now + next.length })
      if (next.suspect) result.alone += 1
    }
    if (upstream.draining && !queue.some(job => job.suspect)) upstream.draining = false
  }
  for (let now = 0; now < RUN_MS; now += STEP_MS) {
    if (random() < LOAD * UPSTREAMS * SLOTS * STEP_MS / SERVICE_MS - Math.floor(LOAD * UPSTREAMS * SLOTS * STEP_MS / SERVICE_MS)) admit(make(now, false), now)
    for (let n = 0; n < Math.floor(LOAD * UPSTREAMS * SLOTS * STEP_MS / SERVICE_MS); n += 1) admit(make(now, false), now)
    if (now < guiltyCount * 30_000 && now % 30_000 === 0) admit(make(now, true), now)
    for (const due of later.splice(0)) due.at <= now ? admit(due.job, now) : later.push(due)
    result.gaveUp += queue.filter(job => now - job.since > PATIENCE_MS && !job.guilty).length
    queue = queue.filter(job => now - job.since <= PATIENCE_MS)
    for (const upstream of upstreams) {
      if (upstream.downUntil > now) continue
      if (upstream.running.some(({ job, endsAt }) => job.guilty && endsAt <= now)) {
        end(upstream, now)
        continue
      }
      for (const { job, endsAt } of upstream.running) if (endsAt <= now) decideQuarantine(db, { kind: 'request-completed', now, ...job.print })
      upstream.running = upstream.running.filter(({ endsAt }) => endsAt > now)
      start(upstream, now)
      result.utilisation += upstream.running.length / (SLOTS * UPSTREAMS * RUN_MS / STEP_MS)
    }
  }
  return result
}

const RUNS = 10
const rows = ([1, 4] as const).flatMap(guiltyCount => (['none', 'count upstreams', 'alone'] as const).map(rule => {
  const runs = Array.from({ length: RUNS }, (_, n) => simulate(rule, guiltyCount, n + 1))
  const mean = (pick: (run: typeof runs[number]) => number): string => (runs.reduce((sum, run) => sum + pick(run), 0) / RUNS).toFixed(2)
  return {
    'guilty requests': guiltyCount,
    rule,
    'upstreams ended': mean(run => run.ended),
    'innocent refused': mean(run => run.refused),
    'innocent gave up': mean(run => run.gaveUp),
    'runs alone': mean(run => run.alone),
    utilisation: mean(run => run.utilisation)
  }
}))
console.table(rows)

/** Compares the quarantine with simpler policies: `node packages/policy/dist/quarantine/quarantine.measure.js`. */
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
/** Mean duration of a request in milliseconds. */
const SERVICE_MS = 4_000
/** Milliseconds until a crashed upstream is available again. */
const RESTART_MS = 10_000
/** Milliseconds after which a caller retries a request that was refused or whose upstream crashed. */
const RETRY_DELAY_MS = 3_000
/** Milliseconds after which a caller gives up. */
const CALLER_TIMEOUT_MS = 60_000
/** Share of all slots that harmless requests occupy. */
const LOAD = 0.7
const SUSPECT_FOR_MS = 60_000
const REFUSE_FOR_MS = 600_000

type Policy = 'none' | 'count upstreams' | 'isolation'

interface Job {
  readonly request: RequestFingerprint
  readonly causesCrash: boolean
  readonly waitingSince: number
  readonly durationMs: number
  suspect: boolean
}

interface Running { readonly job: Job, readonly endsAt: number }

const simulate = (policy: Policy, crashingCount: number, seed: number): { crashes: number, refused: number, timedOut: number, isolatedRuns: number, utilisation: number } => {
  const source = xoroshiro128plus(seed)
  const random = (): number => (source.next() >>> 0) / 2 ** 32
  const db = new QuarantineDb({ crashes: 2, suspectMs: SUSPECT_FOR_MS, refuseMs: REFUSE_FOR_MS, maxPerWorkspace: 256 })
  const counts = new Map<string, number>()
  const upstreams = Array.from({ length: UPSTREAMS }, () => ({ running: [] as Running[], downUntil: 0, draining: false }))
  const retries: Array<{ at: number, job: Job }> = []
  let queue: Job[] = []
  const result = { crashes: 0, refused: 0, timedOut: 0, isolatedRuns: 0, utilisation: 0 }
  let serial = 0
  const createJob = (now: number, causesCrash: boolean): Job => ({
    request: { workspace: asId<WorkspaceId>(`w${Math.floor(random() * 16)}`), fingerprint: asId<Fingerprint>(`f${serial++}`) },
    causesCrash,
    waitingSince: now,
    durationMs: causesCrash ? 300 : SERVICE_MS * (0.25 + 1.5 * random()),
    suspect: false
  })
  const admit = (job: Job, now: number): void => {
    const verdict = policy === 'isolation' ? decideQuarantine(db, { kind: 'request-arrived', now, ...job.request })[0]?.kind : 'admit'
    const refused = verdict === 'refuse' || (policy === 'count upstreams' && (counts.get(job.request.fingerprint) ?? 0) >= 2)
    if (refused && !job.causesCrash) result.refused += 1
    if (refused) retries.push({ at: now + RETRY_DELAY_MS, job })
    else queue.push({ ...job, suspect: verdict === 'isolate' })
  }
  const crashUpstream = (upstream: typeof upstreams[number], now: number): void => {
    result.crashes += 1
    const alone = upstream.running.length === 1
    for (const { job } of upstream.running) {
      counts.set(job.request.fingerprint, (counts.get(job.request.fingerprint) ?? 0) + 1)
      const at = { now, ...job.request, upstream: asId<UpstreamId>('u') }
      decideQuarantine(db, { kind: 'crash-reported', ...at, crash: `c${result.crashes}`, alone, from: 'agent' })
      retries.push({ at: now + RETRY_DELAY_MS, job: { ...job, waitingSince: now } })
    }
    upstream.running = []
    upstream.downUntil = now + RESTART_MS
    upstream.draining = false
  }
  const startRequests = (upstream: typeof upstreams[number], now: number): void => {
    const oldest = queue.find(job => job.suspect)
    if (oldest !== undefined && !upstreams.some(each => each.draining || each.running.some(one => one.job.suspect))) upstream.draining = true
    while (upstream.running.length < SLOTS) {
      const occupancy = { running: upstream.running.length, suspectRunning: upstream.running.some(one => one.job.suspect) }
      const next = queue.find(job => job.suspect === upstream.draining && mayRunConcurrently(occupancy, job.suspect))
      if (next === undefined) break
      queue = queue.filter(job => job !== next)
      upstream.running.push({ job: next, endsAt: now + next.durationMs })
      if (next.suspect) result.isolatedRuns += 1
    }
    if (upstream.draining && !queue.some(job => job.suspect)) upstream.draining = false
  }
  for (let now = 0; now < RUN_MS; now += STEP_MS) {
    if (random() < LOAD * UPSTREAMS * SLOTS * STEP_MS / SERVICE_MS - Math.floor(LOAD * UPSTREAMS * SLOTS * STEP_MS / SERVICE_MS)) admit(createJob(now, false), now)
    for (let n = 0; n < Math.floor(LOAD * UPSTREAMS * SLOTS * STEP_MS / SERVICE_MS); n += 1) admit(createJob(now, false), now)
    if (now < crashingCount * 30_000 && now % 30_000 === 0) admit(createJob(now, true), now)
    for (const due of retries.splice(0)) due.at <= now ? admit(due.job, now) : retries.push(due)
    result.timedOut += queue.filter(job => now - job.waitingSince > CALLER_TIMEOUT_MS && !job.causesCrash).length
    queue = queue.filter(job => now - job.waitingSince <= CALLER_TIMEOUT_MS)
    for (const upstream of upstreams) {
      if (upstream.downUntil > now) continue
      if (upstream.running.some(({ job, endsAt }) => job.causesCrash && endsAt <= now)) {
        crashUpstream(upstream, now)
        continue
      }
      for (const { job, endsAt } of upstream.running) if (endsAt <= now) decideQuarantine(db, { kind: 'request-completed', now, ...job.request })
      upstream.running = upstream.running.filter(({ endsAt }) => endsAt > now)
      startRequests(upstream, now)
      result.utilisation += upstream.running.length / (SLOTS * UPSTREAMS * RUN_MS / STEP_MS)
    }
  }
  return result
}

const RUNS = 10
const rows = ([1, 4] as const).flatMap(crashingCount => (['none', 'count upstreams', 'isolation'] as const).map(policy => {
  const runs = Array.from({ length: RUNS }, (_, n) => simulate(policy, crashingCount, n + 1))
  const mean = (pick: (run: typeof runs[number]) => number): string => (runs.reduce((sum, run) => sum + pick(run), 0) / RUNS).toFixed(2)
  return {
    'crash-causing requests': crashingCount,
    rule: policy,
    'upstream crashes': mean(run => run.crashes),
    'harmless refused': mean(run => run.refused),
    'harmless timed out': mean(run => run.timedOut),
    'isolated runs': mean(run => run.isolatedRuns),
    utilisation: mean(run => run.utilisation)
  }
}))
console.table(rows)

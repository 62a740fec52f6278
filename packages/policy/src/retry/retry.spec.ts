/** Specification of the retry policy for failed attempts. */
import { describe, it } from 'node:test'
import { asId, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { decideRetry } from './retry.js'
import { RetryDb } from './retryDb.js'
import type { RetryCommand, RetryConfig, RetryEvent } from './retryTypes.js'

const SEED = 77
const service = asId<ServiceId>('ledger')
const small = asId<WorkspaceId>('small')
const large = asId<WorkspaceId>('large')
const upstream = asId<UpstreamId>('u1')
const config: RetryConfig = { budgetPercent: 10, floorPerSecond: 0.1, burst: 10, maxAttempts: 3, pullTtl: 2_000, pullMargin: 200 }
const request = (n: number): RequestId => asId<RequestId>(`r${n}`)

const open = (db: RetryDb, n: number, idempotent: boolean, now = 0, workspace = small): void => {
  decideRetry(db, { kind: 'request-opened', now, request: request(n), workspace, service, idempotent, deadline: now + 60_000 })
  decideRetry(db, { kind: 'attempt-started', now, request: request(n), upstream })
}

const opened = (idempotent: boolean): RetryDb => {
  const db = new RetryDb(config)
  open(db, 1, idempotent)
  return db
}

const fail = (outcome: 'not-run' | 'unknown' | 'ran', now = 10, n = 1): RetryEvent =>
  ({ kind: 'response-failed', now, request: request(n), upstream, outcome, crashed: false, quarantined: false })

const kinds = (commands: readonly RetryCommand[]): string[] => commands.map(command => command.kind)

describe('retry', () => {
  it('requeues a declined request without using the retry budget', () => {
    const db = opened(false)
    for (let n = 0; n < 20; n += 1) {
      expect(decideRetry(db, { kind: 'declined', now: n, request: request(1), upstream, reason: 'expired' })).toEqual([{ kind: 'requeue', request: request(1), avoid: [] }])
      decideRetry(db, { kind: 'attempt-started', now: n, request: request(1), upstream })
    }
  })

  it('responds not-run to a declined request past its deadline', () => {
    const answer = decideRetry(opened(false), { kind: 'declined', now: 60_000, request: request(1), upstream, reason: 'not-accepting' })
    expect(answer).toEqual([{ kind: 'answer', request: request(1), outcome: 'not-run', status: 504, retryAfter: 1_000, reason: 'deadline' }])
  })

  it('retries an idempotent request and lists the upstreams to avoid', () => {
    expect(decideRetry(opened(true), fail('unknown'))).toEqual([{ kind: 'retry', request: request(1), attempt: 1, avoid: [upstream] }])
  })

  it('keeps avoiding a failed upstream when another one declines the next attempt', () => {
    const db = opened(true)
    decideRetry(db, fail('unknown'))
    const other = asId<UpstreamId>('u2')
    decideRetry(db, { kind: 'attempt-started', now: 20, request: request(1), upstream: other })
    const commands = decideRetry(db, { kind: 'declined', now: 30, request: request(1), upstream: other, reason: 'expired' })
    expect(commands).toEqual([{ kind: 'requeue', request: request(1), avoid: [upstream] }])
  })

  it('responds with the outcome of a non-idempotent request that may have run, without Retry-After', () => {
    const answer = decideRetry(opened(false), fail('unknown'))
    expect(answer).toEqual([{ kind: 'answer', request: request(1), outcome: 'unknown', status: 502, retryAfter: undefined, reason: 'upstream failed' }])
  })

  it('retries a non-idempotent request that did not run', () => {
    expect(kinds(decideRetry(opened(false), fail('not-run')))).toEqual(['retry'])
  })

  it('closes the connection of a caller that has received a part of the response', () => {
    const db = opened(true)
    decideRetry(db, { kind: 'bytes-sent', now: 1, request: request(1) })
    expect(decideRetry(db, fail('unknown'))).toEqual([{ kind: 'cut', request: request(1) }])
  })

  it('waits after a lost session until no agent can start the request any more', () => {
    const db = opened(true)
    expect(decideRetry(db, { kind: 'session-lost', now: 500, request: request(1), upstream, peer: 'expired' })).toEqual([])
    expect(decideRetry(db, { kind: 'tick', now: 2_199 })).toEqual([])
    expect(kinds(decideRetry(db, { kind: 'tick', now: 2_200 }))).toEqual(['retry'])
  })

  it('decides at once when the agent process has ended or had accepted the request', () => {
    expect(kinds(decideRetry(opened(true), { kind: 'session-lost', now: 500, request: request(1), upstream, peer: 'gone' }))).toEqual(['retry'])
    const accepted = opened(false)
    decideRetry(accepted, { kind: 'accepted', now: 1, request: request(1), upstream })
    expect(kinds(decideRetry(accepted, { kind: 'session-lost', now: 500, request: request(1), upstream, peer: 'expired' }))).toEqual(['answer'])
  })

  it('never reports a request as not run after an attempt that may have run', () => {
    const db = opened(true)
    decideRetry(db, fail('unknown'))
    decideRetry(db, { kind: 'attempt-started', now: 20, request: request(1), upstream })
    const last = decideRetry(db, { kind: 'declined', now: 70_000, request: request(1), upstream, reason: 'expired' })
    expect(last).toEqual([{ kind: 'answer', request: request(1), outcome: 'unknown', status: 504, retryAfter: 1_000, reason: 'deadline' }])
  })

  it('never reports a quarantined request as not run after an attempt that may have run', () => {
    const db = opened(true)
    decideRetry(db, fail('unknown'))
    decideRetry(db, { kind: 'attempt-started', now: 20, request: request(1), upstream })
    const failed = decideRetry(db, { ...fail('not-run', 30), quarantined: true } as RetryEvent)
    expect(failed[0]).toEqual({
      kind: 'answer', request: request(1), outcome: 'unknown', status: 422, retryAfter: undefined, reason: 'requests like this one ended upstreams'
    })
  })

  it('limits retries to the share of first attempts plus the floor', () => {
    const db = new RetryDb(config)
    let retries = 0
    for (let n = 0; n < 1_000; n += 1) {
      open(db, n, true, n * 10, large)
      if (decideRetry(db, fail('unknown', n * 10, n))[0]?.kind === 'retry') retries += 1
    }
    const allowed = 1_000 * config.budgetPercent / 100 + 10 * config.floorPerSecond + 1
    expect(retries <= allowed && retries >= 0.9 * allowed).toEqual(true)
  })

  it('leaves half of the accumulated retries of a service to other workspaces', () => {
    const db = new RetryDb(config)
    for (let n = 0; n < 200; n += 1) open(db, n, true, 0, large)
    const retried = Array.from({ length: 200 }, (_, n) => decideRetry(db, fail('unknown', 0, n))[0]?.kind).filter(kind => kind === 'retry')
    expect(retried.length).toEqual(config.burst / 2)
    open(db, 500, true, 0, small)
    expect(kinds(decideRetry(db, fail('unknown', 0, 500)))).toEqual(['retry'])
  })

  it('ignores events of an upstream whose attempt is no longer the current one', () => {
    const db = opened(true)
    decideRetry(db, fail('unknown'))
    const second = asId<UpstreamId>('u2')
    decideRetry(db, { kind: 'attempt-started', now: 20, request: request(1), upstream: second })
    expect(decideRetry(db, { kind: 'declined', now: 21, request: request(1), upstream, reason: 'expired' })).toEqual([])
    expect(decideRetry(db, { kind: 'session-lost', now: 22, request: request(1), upstream, peer: 'gone' })).toEqual([])
  })

  it('never reruns a non-idempotent request that may have run, never retries after bytes were sent, and ends each request once', () => {
    const event = fc.oneof(
      fc.constant({ kind: 'attempt-started', upstream }),
      fc.constant({ kind: 'accepted' }),
      fc.constant({ kind: 'bytes-sent' }),
      fc.constant({ kind: 'caller-gone' }),
      fc.constant({ kind: 'tick' }),
      fc.record({ kind: fc.constant('declined'), reason: fc.constantFrom('expired', 'not-accepting', 'not-home', 'key-running', 'key-unknown', 'quarantined') }),
      fc.record({ kind: fc.constant('session-lost'), peer: fc.constantFrom('gone', 'expired') }),
      fc.record({ kind: fc.constant('response-failed'), outcome: fc.constantFrom('not-run', 'unknown', 'ran'), crashed: fc.boolean(), quarantined: fc.boolean() }))
    fc.assert(fc.property(fc.boolean(), fc.array(fc.tuple(fc.nat(1_500), event), { maxLength: 40 }), (idempotent, steps) => {
      const db = opened(idempotent)
      const model = { now: 0, held: true, mayHaveRun: false, doubt: false, bytes: false, ended: 0 }
      for (const [span, step] of steps) {
        model.now += span
        if (step.kind === 'attempt-started' && model.held) continue
        if ((step.kind === 'declined' || step.kind === 'response-failed' || step.kind === 'session-lost') && !model.held) continue
        if (step.kind === 'bytes-sent' && !model.held) continue
        if (step.kind === 'attempt-started') model.held = true
        if (step.kind === 'bytes-sent') model.bytes = true
        if (step.kind === 'response-failed' && step.outcome !== 'not-run') model.mayHaveRun = true
        if (step.kind === 'session-lost') model.doubt = true
        if (step.kind === 'declined' || step.kind === 'response-failed') model.doubt = false
        for (const command of decideRetry(db, { upstream, ...step, now: model.now, request: request(1) } as RetryEvent)) {
          if (model.doubt) model.mayHaveRun = true
          model.doubt = false
          if (command.kind === 'requeue' || command.kind === 'retry') {
            model.held = false
            if (model.ended > 0 || (model.mayHaveRun && !idempotent)) return false
            if (command.kind === 'retry' && model.bytes) return false
          } else model.ended += 1
          if (command.kind === 'answer' && (model.bytes || (command.outcome === 'not-run' && model.mayHaveRun))) return false
          if (command.kind === 'cut' && !model.bytes) return false
        }
        if (model.ended > 0 && db.requests.size + db.inDoubt.size > 0) return false
        if (model.ended > 0) return model.ended === 1
      }
      return model.ended <= 1
    }), { seed: SEED, numRuns: 3_000 })
  })
})

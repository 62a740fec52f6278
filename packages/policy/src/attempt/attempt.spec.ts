import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { decideAttempt } from './attempt.js'
import type { FailedAttempt, AttemptFailure, Repeatability } from './attemptTypes.js'

const ATTEMPT: FailedAttempt = {
  repeatability: 'idempotent',
  failure: { kind: 'uncertain', reason: 'reset' },
  responseStarted: false,
  attemptsLeft: 1,
  timeLeftMs: 1000,
  retryBudgetAvailable: true
}

const decide = (overrides: Partial<FailedAttempt>): string => decideAttempt({ ...ATTEMPT, ...overrides }).kind

const failures = fc.constantFrom<AttemptFailure>(
  { kind: 'not-run', reason: 'full' }, { kind: 'not-run', reason: 'unreachable' }, { kind: 'uncertain', reason: 'reset' },
  { kind: 'uncertain', reason: 'silent' }, { kind: 'uncertain', reason: 'garbled' }, { kind: 'uncertain', reason: 'unattributed' }, { kind: 'error-answer', status: 500 }
)
const anyAttempt = fc.record({
  repeatability: fc.constantFrom<Repeatability>('idempotent', 'once', 'resumable'),
  failure: failures,
  responseStarted: fc.boolean(),
  attemptsLeft: fc.integer({ min: 0, max: 3 }),
  timeLeftMs: fc.integer({ min: 0, max: 5000 }),
  retryBudgetAvailable: fc.boolean()
})

describe('a failed attempt', () => {
  it('is retried when the request may run again', () => {
    expect(decide({})).toEqual('retry')
    expect(decide({ repeatability: 'resumable' })).toEqual('retry')
  })

  it('of a non-idempotent request that may have run results in an unknown outcome', () => {
    expect(decide({ repeatability: 'once' })).toEqual('answer-unknown')
  })

  it('that did not run is retried, also for a non-idempotent request', () => {
    expect(decide({ repeatability: 'once', failure: { kind: 'not-run', reason: 'full' } })).toEqual('retry')
    expect(decide({ failure: { kind: 'not-run', reason: 'full' }, attemptsLeft: 0 })).toEqual('refuse')
  })

  it('after the response has started is resumed when the stream is resumable, else the response is broken off', () => {
    expect(decide({ repeatability: 'resumable', responseStarted: true })).toEqual('resume')
    expect(decide({ repeatability: 'idempotent', responseStarted: true })).toEqual('break-off')
    expect(decide({ repeatability: 'once', responseStarted: true })).toEqual('break-off')
  })

  it('with an error response is retried, or the error is forwarded when no retry is possible', () => {
    const failure: AttemptFailure = { kind: 'error-answer', status: 500 }
    expect(decide({ failure })).toEqual('retry')
    expect(decide({ failure, attemptsLeft: 0 })).toEqual('relay')
    expect(decide({ failure, repeatability: 'once' })).toEqual('relay')
  })

  it('never lets a non-idempotent request run twice or reports that a request did not run when it may have', () => {
    fc.assert(fc.property(anyAttempt, attempt => {
      const decision = decideAttempt(attempt).kind
      const mayHaveRun = attempt.failure.kind !== 'not-run'
      if (mayHaveRun && attempt.repeatability === 'once') expect(['answer-unknown', 'break-off', 'relay'].includes(decision)).toEqual(true)
      if (mayHaveRun) expect(decision).not.toEqual('refuse')
      if (attempt.responseStarted) expect(['resume', 'break-off'].includes(decision)).toEqual(true)
      if (!attempt.retryBudgetAvailable || attempt.attemptsLeft === 0) expect(['retry', 'resume'].includes(decision)).toEqual(false)
    }))
  })
})

/** Decides what follows a failed attempt at an upstream that crashed, stopped responding, sent a malformed response or shed load. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { FailedAttempt, AttemptDecision } from './attemptTypes.js'

/** Shortest remaining time in which another attempt can complete, in milliseconds. */
const MIN_TIME_LEFT_MS: Millis = 60

const canRetry = (facts: FailedAttempt): boolean =>
  facts.attemptsLeft > 0 && facts.retryBudgetAvailable && facts.timeLeftMs >= MIN_TIME_LEFT_MS

const decideUncertain = (facts: FailedAttempt): AttemptDecision => {
  const canRepeat = canRetry(facts) && facts.repeatability !== 'once'
  if (facts.responseStarted) return canRepeat && facts.repeatability === 'resumable' ? { kind: 'resume' } : { kind: 'break-off' }
  return canRepeat ? { kind: 'retry' } : { kind: 'answer-unknown' }
}

/**
 * Decides what follows one failed attempt.
 *
 * @param facts - the failure and the remaining time, attempts and retry budget
 * @returns the next step
 */
export const decideAttempt = (facts: FailedAttempt): AttemptDecision => {
  const { failure } = facts
  switch (failure.kind) {
    case 'not-run':
// A resumed stream whose next upstream declines is still an incomplete response.
      if (facts.responseStarted) return canRetry(facts) ? { kind: 'resume' } : { kind: 'break-off' }
      return canRetry(facts) ? { kind: 'retry' } : { kind: 'refuse' }
    case 'uncertain':
      return decideUncertain(facts)
    case 'error-answer':
      if (facts.responseStarted) return decideUncertain(facts)
      return canRetry(facts) && facts.repeatability !== 'once' ? { kind: 'retry' } : { kind: 'relay' }
    default:
      return assertNever(failure)
  }
}

/**
 * Decides what follows a failed attempt at an upstream that crashed, stopped responding, sent a malformed response or shed
 * load.
 */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { FailedAttempt, AttemptDecision } from './attemptTypes.js'

/** Shortest remaining time in which another attempt can complete, in milliseconds. */
const MIN_TIME_LEFT_MS: Millis = 60

const canRetry = (attempt: FailedAttempt): boolean =>
  attempt.attemptsLeft > 0 && attempt.retryBudgetAvailable && attempt.timeLeftMs >= MIN_TIME_LEFT_MS

/** Decides what follows when the request may have run. */
const decideUncertain = (attempt: FailedAttempt): AttemptDecision => {
  const canRepeat = canRetry(attempt) && attempt.repeatability !== 'once'
  if (attempt.responseStarted) return canRepeat && attempt.repeatability === 'resumable' ? { kind: 'resume' } : { kind: 'break-off' }
  return canRepeat ? { kind: 'retry' } : { kind: 'answer-unknown' }
}

/**
 * Decides what follows one failed attempt.
 *
 * @param attempt - the failure and the remaining time, attempts and retry budget
 * @returns the next step
 */
export const decideAttempt = (attempt: FailedAttempt): AttemptDecision => {
  const { failure } = attempt
  switch (failure.kind) {
    case 'not-run':
      // A resumed stream whose next upstream declines is still an incomplete response.
      if (attempt.responseStarted) return canRetry(attempt) ? { kind: 'resume' } : { kind: 'break-off' }
      return canRetry(attempt) ? { kind: 'retry' } : { kind: 'refuse' }
    case 'uncertain':
      return decideUncertain(attempt)
    case 'error-answer':
      if (attempt.responseStarted) return decideUncertain(attempt)
      return canRetry(attempt) && attempt.repeatability !== 'once' ? { kind: 'retry' } : { kind: 'relay' }
    default:
      return assertNever(failure)
  }
}

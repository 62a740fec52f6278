/** Maps decisions of the policies to the problems sent to callers. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { RetryCommand } from '@fuchsiaworks/policy'
import { notRunProblem, type Problem } from '../callers/problem.js'

/** Details of refusals, by reason. */
const REFUSAL_DETAILS: Readonly<Record<string, string>> = {
  'queue-full': 'too many requests of the workspace wait for the service',
  'predicted-wait': 'the request would wait longer than the workspace tolerates',
  quarantined: 'requests like this one ended upstreams and are refused for a while',
  deadline: 'no upstream took the request within the time that the workspace tolerates'
}

/** HTTP statuses of refusals, by reason; 503 for all others. */
const REFUSAL_STATUSES: Readonly<Record<string, number>> = { 'queue-full': 429, quarantined: 422 }

/**
 * Creates the problem for a request refused by the queue or by the quarantine.
 *
 * @param reason - reason of the refusal
 * @param retryAfter - milliseconds after which a retry may succeed
 */
export const problemOfRefusal = (reason: string, retryAfter: Millis): Problem =>
  notRunProblem(REFUSAL_STATUSES[reason] ?? 503, reason, REFUSAL_DETAILS[reason] ?? reason, retryAfter)

/**
 * Creates the problem for a request whose attempts failed.
 *
 * @param decision - decision of the retry policy
 */
export const problemOfFailure = ({ status, outcome, reason, retryAfter }: Extract<RetryCommand, { kind: 'answer' }>): Problem =>
  ({ status, type: reason.replaceAll(' ', '-'), detail: reason, outcome, ...(retryAfter === undefined ? {} : { retryAfter }) })

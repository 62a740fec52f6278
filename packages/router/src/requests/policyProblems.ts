/** Turns decisions of the policies into what callers are told. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { RetryCommand } from '@fuchsiaworks/policy'
import { notRunProblem, type Problem } from '../callers/problem.js'

/** Sentences for refusals by the queue. */
const REFUSAL_DETAILS: Readonly<Record<string, string>> = {
  'queue-full': 'too many requests of the workspace wait for the service',
  'predicted-wait': 'the request would wait longer than the workspace tolerates',
  quarantined: 'requests like this one ended upstreams and are refused for a while',
  deadline: 'no upstream took the request within the time that the workspace tolerates'
}

/** Statuses of refusals other than 503. */
const REFUSAL_STATUSES: Readonly<Record<string, number>> = { 'queue-full': 429, quarantined: 422 }

/**
 * Words a refusal of the queue.
 *
 * @param reason - why it was refused
 * @param retryAfter - milliseconds after which a new try can help
 * @returns the problem
 */
export const problemOfRefusal = (reason: string, retryAfter: Millis): Problem =>
  notRunProblem(REFUSAL_STATUSES[reason] ?? 503, reason, REFUSAL_DETAILS[reason] ?? reason, retryAfter)

/**
 * Words the end of a request whose attempt failed.
 *
 * @param answer - the decision
 * @returns the problem
 */
export const problemOfFailure = ({ status, outcome, reason, retryAfter }: Extract<RetryCommand, { kind: 'answer' }>): Problem =>
  ({ status, type: reason.replaceAll(' ', '-'), detail: reason, outcome, ...(retryAfter === undefined ? {} : { retryAfter }) })

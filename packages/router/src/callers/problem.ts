/** Answers to callers that carry no response of an upstream: RFC 9457 problems with a typed outcome. */
import type { ServerResponse } from 'node:http'
import type { Millis } from '@fuchsiaworks/kernel'
import type { Outcome } from '@fuchsiaworks/wire'

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000

/** What the caller is told. */
export interface Problem {
  readonly status: number
  /** Stable name in kebab case. */
  readonly type: string
  /** One sentence for a person. */
  readonly detail: string
  /** Whether the request ran. */
  readonly outcome: Outcome
  /** When a new try can help, in milliseconds from now. */
  readonly retryAfter?: Millis
}

/**
 * Makes a problem for a request that did not run.
 *
 * @param status - HTTP status
 * @param type - stable name in kebab case
 * @param detail - one sentence for a person
 * @param retryAfter - milliseconds after which a new try can help
 * @returns the problem
 */
export const notRunProblem = (status: number, type: string, detail: string, retryAfter?: Millis): Problem =>
  ({ status, type, detail, outcome: 'not-run', ...(retryAfter === undefined ? {} : { retryAfter }) })

/**
 * Sends a problem, or cuts the connection when a part of an answer has been sent already.
 *
 * @param res - the caller's response
 * @param problem - what to tell
 */
export const sendProblem = (res: ServerResponse, problem: Problem): void => {
  if (res.writableEnded || res.destroyed) return
  if (res.headersSent) {
    res.destroy()
    return
  }
  const { retryAfter, ...rest } = problem
  const body = JSON.stringify({ ...rest, type: `urn:fuchsiaworks:${problem.type}` })
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(body)),
    'fuchsiaworks-outcome': problem.outcome
  }
  if (retryAfter !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfter / MS_PER_SECOND)))
  res.writeHead(problem.status, headers)
  res.end(body)
}

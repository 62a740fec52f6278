/** Invariants of single responses. */
import { plainBody, sealOf, streamBody } from '../world/upstreamResponses.js'
import { BOUNDS } from './bounds.js'
import { runsByAttempt } from './byAttempt.js'
import { wasGatewayDisturbed } from './disturbances.js'
import type { Observations, InvariantCheck, SentRequest } from './observationTypes.js'

/** Statuses with which a gateway states that a request has not run and will not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503]

/** Statuses that report an error of the caller. */
const CLIENT_ERROR_STATUSES: readonly number[] = [400, 401, 403, 404, 413, 431]

const expectedBody = ({ kind, attempt, body, resumes }: SentRequest): string => kind === 'stream' ? streamBody(attempt, resumes?.lastEventId ?? 0) : plainBody(attempt, body)

const describeWrongResponse = (req: SentRequest): string | undefined => {
  const { end } = req
  if (end?.kind === 'broken') return end.status !== 200 || expectedBody(req).startsWith(end.body) ? undefined : 'an aborted response is not a prefix of the expected one'
  if (end?.kind !== 'response') return undefined
  if (end.status === 200 && end.seal !== sealOf(req.attempt, 200)) return `a response with status 200 has the seal ${String(end.seal)}`
  if (end.status === 200 && end.body !== expectedBody(req)) return `a response with status 200 has an unexpected body of ${end.body.length} bytes`
  if (end.status !== 200 && end.seal !== undefined && end.seal !== sealOf(req.attempt, end.status)) return `a response with status ${end.status} has the seal ${end.seal}`
  return undefined
}

/** Each caller gets the complete response to its own request, with a valid seal. */
export const correctResponses: InvariantCheck = {
  invariant: 'each caller gets the complete response to its own request',
  find: ({ requests }) => {
    for (const req of requests) {
      const description = describeWrongResponse(req)
      if (description !== undefined) return { invariant: correctResponses.invariant, description, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** A request that was refused as not run has not run. */
export const refusedRequestsNotRun: InvariantCheck = {
  invariant: 'a request refused as not run has not run',
  find: observations => {
    const runs = runsByAttempt(observations)
    for (const { attempt, end } of observations.requests) {
      if (end?.kind !== 'response' || !NOT_RUN_STATUSES.includes(end.status) || !runs.has(attempt)) continue
      return { invariant: refusedRequestsNotRun.invariant, description: `a request that ran got status ${end.status}`, attempts: [attempt] }
    }
    return undefined
  }
}

const isKeyRevoked = ({ revokedKeys }: Observations, req: SentRequest): boolean => revokedKeys.some(({ key, at }) => key === req.key && at <= (req.end?.at ?? 0))

/** Requests that every published configuration allows get no client error. */
export const noFalseClientErrors: InvariantCheck = {
  invariant: 'a valid request gets no client error',
  find: observations => {
    for (const req of observations.requests) {
      const { end, kind } = req
      if (kind === 'probe' || end?.kind !== 'response' || !CLIENT_ERROR_STATUSES.includes(end.status)) continue
      if (end.status === 401 && isKeyRevoked(observations, req)) continue
      return { invariant: noFalseClientErrors.invariant, description: `a valid request got status ${end.status}`, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** Every request gets its final response in time. */
export const responsesInTime: InvariantCheck = {
  invariant: 'every request gets its final response within the timeout of its route',
  find: (observations, now) => {
    for (const { sentAt, timeoutMs, end, attempt, gateway } of observations.requests) {
      const dueAt = sentAt + timeoutMs + BOUNDS.lateResponseMs
      if ((end?.at ?? now) <= dueAt || wasGatewayDisturbed(observations, gateway, sentAt, dueAt)) continue
      return { invariant: responsesInTime.invariant, description: `no final response ${timeoutMs + BOUNDS.lateResponseMs} ms after the request was sent`, attempts: [attempt] }
    }
    return undefined
  }
}

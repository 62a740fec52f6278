/** Promises about single answers. */
import { plainBody, sealOf, streamBody } from '../world/upstreamResponses.js'
import { BOUNDS } from './bounds.js'
import { runsByAttempt } from './byAttempt.js'
import { componentsOfGateway, wasDisturbed } from './disturbances.js'
import type { Observations, InvariantCheck, SentRequest } from './observationTypes.js'

/** Statuses by which a gateway promises that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503]

/** Statuses that blame the caller. */
const CLIENT_ERROR_STATUSES: readonly number[] = [400, 401, 403, 404, 413, 431]

const expectedBody = ({ kind, attempt, body }: SentRequest): string => kind === 'stream' ? streamBody(attempt, 0) : plainBody(attempt, body)

const describeWrongResponse = (req: SentRequest): string | undefined => {
  const { end } = req
  if (end?.kind === 'broken') return end.status !== 200 || expectedBody(req).startsWith(end.body) ? undefined : 'a broken answer is not the start of its own'
  if (end?.kind !== 'response') return undefined
  if (end.status === 200 && end.seal !== sealOf(req.attempt, 200)) return `a success bears the seal ${String(end.seal)}`
  if (end.status === 200 && end.body !== expectedBody(req)) return `a success has another body than its own, of ${end.body.length} bytes`
  if (end.status !== 200 && end.seal !== undefined && end.seal !== sealOf(req.attempt, end.status)) return `a failure ${end.status} bears the seal ${end.seal}`
  return undefined
}

/** Each caller gets its own whole answer. */
export const correctResponses: InvariantCheck = {
  invariant: 'each caller gets its own whole answer',
  find: ({ requests }) => {
    for (const req of requests) {
      const description = describeWrongResponse(req)
      if (description !== undefined) return { invariant: correctResponses.invariant, description, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** A refusal that says "not run" is true. */
export const refusedRequestsNotRun: InvariantCheck = {
  invariant: 'a refusal that says "not run" is true',
  find: observations => {
    const runs = runsByAttempt(observations)
    for (const { attempt, end } of observations.requests) {
      if (end?.kind !== 'response' || !NOT_RUN_STATUSES.includes(end.status) || !runs.has(attempt)) continue
      return { invariant: refusedRequestsNotRun.invariant, description: `a request that ran was answered ${end.status}`, attempts: [attempt] }
    }
    return undefined
  }
}

const isKeyRevoked = ({ revokedKeys }: Observations, req: SentRequest): boolean => revokedKeys.some(({ key, at }) => key === req.key && at <= (req.end?.at ?? 0))

/** What every configuration allows is not denied. */
export const noFalseClientErrors: InvariantCheck = {
  invariant: 'no caller is blamed for a proper request',
  find: observations => {
    for (const req of observations.requests) {
      const { end, kind } = req
      if (kind === 'probe' || end?.kind !== 'response' || !CLIENT_ERROR_STATUSES.includes(end.status)) continue
      if (end.status === 401 && isKeyRevoked(observations, req)) continue
      return { invariant: noFalseClientErrors.invariant, description: `a proper request was answered ${end.status}`, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** Every request has its final answer in time. */
export const responsesInTime: InvariantCheck = {
  invariant: 'every request has its final answer by the timeout of its route',
  find: (observations, now) => {
    for (const { sentAt, timeoutMs, end, attempt, gateway } of observations.requests) {
      const dueAt = sentAt + timeoutMs + BOUNDS.lateResponseMs
      if ((end?.at ?? now) <= dueAt || wasDisturbed(observations, componentsOfGateway(gateway), sentAt, dueAt)) continue
      return { invariant: responsesInTime.invariant, description: `no final answer ${timeoutMs + BOUNDS.lateResponseMs} ms after it was sent`, attempts: [attempt] }
    }
    return undefined
  }
}

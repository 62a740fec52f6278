/** Promises about single answers. */
import { plainAnswer, sealOf, streamAnswer } from '../world/servedWork.js'
import { BOUNDS } from './bounds.js'
import { runsByAttempt } from './byAttempt.js'
import { partsOfGateway, wasDisturbed } from './disturbed.js'
import type { Ledger, PromiseCheck, SentRequest } from './ledgerTypes.js'

/** Statuses by which a gateway promises that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503]

/** Statuses that blame the caller. */
const BLAMING_STATUSES: readonly number[] = [400, 401, 403, 404, 413, 431]

const expectedBody = ({ kind, attempt, body }: SentRequest): string => kind === 'stream' ? streamAnswer(attempt, 0) : plainAnswer(attempt, body)

const faultOfAnswer = (req: SentRequest): string | undefined => {
  const { end } = req
  if (end?.kind === 'broken') return end.status !== 200 || expectedBody(req).startsWith(end.body) ? undefined : 'a broken answer is not the start of its own'
  if (end?.kind !== 'answer') return undefined
  if (end.status === 200 && end.seal !== sealOf(req.attempt, 200)) return `a success bears the seal ${String(end.seal)}`
  if (end.status === 200 && end.body !== expectedBody(req)) return `a success has another body than its own, of ${end.body.length} bytes`
  if (end.status !== 200 && end.seal !== undefined && end.seal !== sealOf(req.attempt, end.status)) return `a failure ${end.status} bears the seal ${end.seal}`
  return undefined
}

/** Each caller gets its own whole answer. */
export const ownWholeAnswers: PromiseCheck = {
  promise: 'each caller gets its own whole answer',
  find: ({ requests }) => {
    for (const req of requests) {
      const what = faultOfAnswer(req)
      if (what !== undefined) return { promise: ownWholeAnswers.promise, what, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** A refusal that says "not run" is true. */
export const trueRefusals: PromiseCheck = {
  promise: 'a refusal that says "not run" is true',
  find: ledger => {
    const ran = runsByAttempt(ledger)
    for (const { attempt, end } of ledger.requests) {
      if (end?.kind !== 'answer' || !NOT_RUN_STATUSES.includes(end.status) || !ran.has(attempt)) continue
      return { promise: trueRefusals.promise, what: `a request that ran was answered ${end.status}`, attempts: [attempt] }
    }
    return undefined
  }
}

const isKeyTaken = ({ takenKeys }: Ledger, req: SentRequest): boolean => takenKeys.some(({ key, at }) => key === req.key && at <= (req.end?.at ?? 0))

/** What every configuration allows is not denied. */
export const nothingDenied: PromiseCheck = {
  promise: 'no caller is blamed for a proper request',
  find: ledger => {
    for (const req of ledger.requests) {
      const { end, kind } = req
      if (kind === 'probe' || end?.kind !== 'answer' || !BLAMING_STATUSES.includes(end.status)) continue
      if (end.status === 401 && isKeyTaken(ledger, req)) continue
      return { promise: nothingDenied.promise, what: `a proper request was answered ${end.status}`, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** Every request has its final answer in time. */
export const finalAnswers: PromiseCheck = {
  promise: 'every request has its final answer by the timeout of its route',
  find: (ledger, now) => {
    for (const { sentAt, timeoutMs, end, attempt, gateway } of ledger.requests) {
      const dueAt = sentAt + timeoutMs + BOUNDS.lateMs
      if ((end?.at ?? now) <= dueAt || wasDisturbed(ledger, partsOfGateway(gateway), sentAt, dueAt)) continue
      return { promise: finalAnswers.promise, what: `no final answer ${timeoutMs + BOUNDS.lateMs} ms after it was sent`, attempts: [attempt] }
    }
    return undefined
  }
}

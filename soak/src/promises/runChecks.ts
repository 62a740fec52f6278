/** Promises about what upstreams run. */
import type { Millis } from '@fuchsiaworks/kernel'
import { POISON } from '../world/servedWork.js'
import { BOUNDS } from './bounds.js'
import { requestByAttempt, runsByAttempt } from './byAttempt.js'
import { hadPlannedWork, partsOfArrival, partsOfGateway, wasAnythingUnplanned, wasDisturbed } from './disturbed.js'
import type { Arrival, Ledger, PromiseCheck, SentRequest } from './ledgerTypes.js'

/** Upstreams to which the routes of a soak let a request go. */
export const MAX_ATTEMPTS = 2

/** Milliseconds after which the run that a stream left behind must have ended. */
const HANDED_OVER_MS = 400

/** Broken connections that are borne where nothing was disturbed or planned: those of chance. */
const BORNE_LOSSES = 3

/** Nothing that must not repeat runs twice. */
export const nothingTwice: PromiseCheck = {
  promise: 'nothing that must not repeat runs twice',
  find: ledger => {
    const runs = runsByAttempt(ledger)
    for (const { attempt, kind } of ledger.requests) {
      const count = runs.get(attempt)?.length ?? 0
      if (count > (kind === 'once' ? 1 : MAX_ATTEMPTS)) {
        return { promise: nothingTwice.promise, what: `a request of kind ${kind} ran ${count} times`, attempts: [attempt] }
      }
    }
    return undefined
  }
}

const faultOfArrival = (arrival: Arrival, req: SentRequest | undefined): string | undefined => {
  if (req === undefined) return 'an upstream got a request that nobody sent'
  if (arrival.path !== req.path || arrival.body !== req.body) return 'an upstream got another path or body than was sent'
  if (arrival.workspace !== req.workspace) return `an upstream was told the workspace ${String(arrival.workspace)} in place of ${String(req.workspace)}`
  return arrival.hasKey ? 'an upstream got the key of a caller' : undefined
}

/** Upstreams get what callers sent, and the workspace of their keys. */
export const nothingUnasked: PromiseCheck = {
  promise: 'upstreams get what callers sent, in the name of their workspace',
  find: ledger => {
    const requests = requestByAttempt(ledger)
    for (const arrival of ledger.arrivals) {
      const what = faultOfArrival(arrival, requests.get(arrival.attempt))
      if (what !== undefined) return { promise: nothingUnasked.promise, what, attempts: [arrival.attempt] }
    }
    return undefined
  }
}

/** A stream that goes on elsewhere is no longer worked on where it was. */
export const noDoubleWork: PromiseCheck = {
  promise: 'a stream that goes on elsewhere is not worked on where it was',
  find: (ledger, now) => {
    const requests = requestByAttempt(ledger)
    for (const [attempt, [first, second]] of runsByAttempt(ledger)) {
      if (first === undefined || second === undefined) continue
      const limit = second.at + HANDED_OVER_MS
      if ((first.endedAt ?? now) <= limit) continue
      const parts = [...partsOfArrival(first), ...partsOfGateway(requests.get(attempt)?.gateway ?? -1)]
      if (wasDisturbed(ledger, parts, first.at, limit)) continue
      return { promise: noDoubleWork.promise, what: `${first.upstream} still worked on it ${HANDED_OVER_MS} ms after ${second.upstream} had begun`, attempts: [attempt] }
    }
    return undefined
  }
}

/** A request that ends the upstreams that run it is soon sent to none. */
export const poisonContained: PromiseCheck = {
  promise: 'a request that ends upstreams is contained',
  find: ledger => {
    const requests = requestByAttempt(ledger)
    const runs = ledger.arrivals.filter(({ body, ran }) => ran && body === POISON)
    const last = runs[BOUNDS.poisonEnds - 1]
    if (last === undefined) return undefined
    const late = runs.filter(({ attempt, at }) => at > last.at + BOUNDS.contactMs && !wasDisturbed(ledger, partsOfGateway(requests.get(attempt)?.gateway ?? -1), at, at))
    if (late.length <= BOUNDS.poisonRetries) return undefined
    return { promise: poisonContained.promise, what: `it reached upstreams ${late.length} times more`, attempts: late.map(({ attempt }) => attempt) }
  }
}

/** Requests of callers that have left, with what still reached upstreams or was still worked on. */
const leftBehind = (ledger: Ledger, now: Millis): { late: string[], working: string[], couldHaveLasted: number } => {
  const arrivals = runsByAttempt(ledger)
  const late: string[] = []
  const working: string[] = []
  let couldHaveLasted = 0
  for (const { attempt, end, gateway, kind, sentAt } of ledger.requests) {
    if (end?.kind !== 'left') continue
    const limit = end.at + BOUNDS.goneMs
    if (limit > now || wasDisturbed(ledger, partsOfGateway(gateway), sentAt, limit)) continue
    for (const arrival of arrivals.get(attempt) ?? []) {
      if (arrival.at > limit) late.push(attempt)
      if (kind === 'once' || arrival.at + arrival.workMs <= limit || wasDisturbed(ledger, partsOfArrival(arrival), sentAt, limit)) continue
      couldHaveLasted += 1
      if ((arrival.endedAt ?? now) > limit) working.push(attempt)
    }
  }
  return { late, working, couldHaveLasted }
}

/** Work for callers that have left ends. */
export const goneCallers: PromiseCheck = {
  promise: 'nothing is done for callers that have left',
  find: (ledger, now) => {
    const { late, working, couldHaveLasted } = leftBehind(ledger, now)
    if (late.length > BOUNDS.goneRequests) return { promise: goneCallers.promise, what: `${late.length} requests reached upstreams ${BOUNDS.goneMs} ms after their callers had left`, attempts: late }
    if (working.length <= couldHaveLasted / 4) return undefined
    return { promise: goneCallers.promise, what: `${working.length} of ${couldHaveLasted} requests were worked on ${BOUNDS.goneMs} ms after their callers had left`, attempts: working }
  }
}

/** Requests whose connection ended without a whole answer although an upstream was at work on them and nothing excuses it. */
const lostRequests = (ledger: Ledger, isPlanned: boolean): string[] => {
  const arrivals = runsByAttempt(ledger)
  return ledger.requests.filter(({ attempt, end, gateway, sentAt, timeoutMs }) => {
    if (end?.kind !== 'broken' || end.at >= sentAt + timeoutMs) return false
    const runs = arrivals.get(attempt) ?? []
    if (runs.length === 0 || runs.some(run => run.end === 'failed')) return false
    if (hadPlannedWork(ledger, gateway, sentAt, end.at) !== isPlanned) return false
    if (isPlanned) return !wasAnythingUnplanned(ledger, sentAt, end.at)
    return !wasDisturbed(ledger, [...partsOfGateway(gateway), ...runs.flatMap(partsOfArrival)], sentAt, end.at)
  }).map(({ attempt }) => attempt)
}

/** Planned work cuts nothing. */
export const nothingLost: PromiseCheck = {
  promise: 'requests that are worked on are answered, also while a gateway ends or reloads',
  find: ledger => {
    const planned = lostRequests(ledger, true)
    if (planned.length > 0) return { promise: nothingLost.promise, what: `planned work cut ${planned.length} requests`, attempts: planned }
    const others = lostRequests(ledger, false)
    if (others.length <= BORNE_LOSSES) return undefined
    return { promise: nothingLost.promise, what: `undisturbed gateways cut ${others.length} requests`, attempts: others }
  }
}

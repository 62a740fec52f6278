/** Promises that hold over all gateways: configuration, keys, zones, leaving and cold upstreams, retries, service. */
import type { Millis } from '@fuchsiaworks/kernel'
import { POISON } from '../world/servedWork.js'
import { BOUNDS } from './bounds.js'
import { groupByAttempt, requestByAttempt, runsByAttempt } from './byAttempt.js'
import { partsForStore, wasDisturbed } from './disturbed.js'
import type { Arrival, BrokenPromise, ClosedSpan, Ledger, PromiseCheck, SentRequest } from './ledgerTypes.js'

/** Requests from which a share is judged. */
const MIN_JUDGED = 40

/** Status of a route that the gateway's configuration does not have. */
const NO_ROUTE = 404

/** Status of a gateway that cannot answer yet. */
const NOT_READY = 503

interface Answered {
  readonly req: SentRequest
  readonly at: Millis
  readonly status: number
}

const answeredProbes = ({ requests }: Ledger): Answered[] => requests.flatMap(req =>
  req.kind === 'probe' && req.end?.kind === 'answer' ? [{ req, at: req.end.at, status: req.end.status }] : [])

const isShown = ({ status }: Answered): boolean => status !== NO_ROUTE && status !== NOT_READY

/** A process never goes back to an older configuration. */
export const oneWayConfiguration: PromiseCheck = {
  promise: 'a process never goes back to an older configuration',
  find: ledger => {
    const shown = answeredProbes(ledger).filter(isShown)
    for (const newer of shown) {
      const older = shown.find(({ req }) => req.gateway === newer.req.gateway && req.life === newer.req.life &&
        (req.revision ?? 0) < (newer.req.revision ?? 0) && req.sentAt > newer.at + BOUNDS.rollbackSlackMs)
      if (older === undefined) continue
      return { promise: oneWayConfiguration.promise, what: `revision ${older.req.revision ?? 0} answered after revision ${newer.req.revision ?? 0}`, attempts: [newer.req.attempt, older.req.attempt] }
    }
    return undefined
  }
}

/** A configuration is in force in time at gateways that nothing disturbs. */
export const configurationInForce: PromiseCheck = {
  promise: 'a configuration is in force in time',
  find: ledger => {
    for (const { req, at, status } of answeredProbes(ledger)) {
      const published = ledger.publications.find(({ revision }) => revision === req.revision)
      const next = ledger.publications.find(({ revision }) => revision > (req.revision ?? 0))
      if (published === undefined || status !== NO_ROUTE || req.sentAt <= published.at + BOUNDS.configMs) continue
      if ((next?.at ?? Infinity) <= at || wasDisturbed(ledger, partsForStore(req.gateway), req.sentAt, at)) continue
      return { promise: configurationInForce.promise, what: `revision ${req.revision ?? 0} is not in force ${Math.round(req.sentAt - published.at)} ms after its publication`, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** A key that was taken away stops working, also at gateways that cannot know. */
export const takenKeysStop: PromiseCheck = {
  promise: 'a key that was taken away stops working',
  find: ledger => {
    const ran = runsByAttempt(ledger)
    for (const { key, attempt, sentAt } of ledger.requests) {
      const taken = ledger.takenKeys.find(one => one.key === key)
      if (taken === undefined || sentAt <= taken.at + BOUNDS.revokeMs || !ran.has(attempt)) continue
      return { promise: takenKeysStop.promise, what: `a request ran ${Math.round(sentAt - taken.at)} ms after its key was taken away`, attempts: [attempt] }
    }
    return undefined
  }
}

const findUse = (ledger: Ledger, promise: string, spans: readonly ClosedSpan[], nameOf: (arrival: Arrival) => string, boundMs: Millis): BrokenPromise | undefined => {
  const requests = requestByAttempt(ledger)
  for (const { name, from, to } of spans) {
    for (const arrival of ledger.arrivals) {
      const req = requests.get(arrival.attempt)
      if (nameOf(arrival) !== name || arrival.at <= from + boundMs || arrival.at >= (to ?? Infinity) || req === undefined) continue
      if (wasDisturbed(ledger, partsForStore(req.gateway), req.sentAt, arrival.at)) continue
      return { promise, what: `${arrival.upstream} got a request ${Math.round(arrival.at - from)} ms after ${name} was to get nothing new`, attempts: [arrival.attempt] }
    }
  }
  return undefined
}

/** A closed zone gets nothing new. */
export const closedZonesRest: PromiseCheck = {
  promise: 'a closed zone gets nothing new',
  find: ledger => findUse(ledger, closedZonesRest.promise, ledger.closedZones, ({ zone }) => zone, BOUNDS.evacuateMs)
}

/** An upstream that leaves gets nothing new. */
export const leavingUpstreamsRest: PromiseCheck = {
  promise: 'an upstream that leaves gets nothing new',
  find: ledger => findUse(ledger, leavingUpstreamsRest.promise, ledger.leaving, ({ upstream }) => upstream, BOUNDS.drainMs)
}

/** Cold upstreams are spared by all gateways together. */
export const coldUpstreamsSpared = (perSecond: number): PromiseCheck => {
  const promise = 'cold upstreams are spared by all gateways together'
  const bound = perSecond * BOUNDS.coldExcess + BOUNDS.coldSlack
  return {
    promise,
    find: ledger => {
      for (const { name, from, to } of ledger.cold) {
        const times = ledger.arrivals.filter(({ upstream, at }) => upstream === name && at >= from && at <= (to ?? Infinity))
        for (const [nth, { at }] of times.entries()) {
          const window = times.slice(nth).filter(other => other.at < at + BOUNDS.coldWindowMs)
          // Requests that were held up on the way arrive together.
          if (window.length <= bound || wasDisturbed(ledger, [`upstream-link ${name}`], at, at)) continue
          return { promise, what: `${name} got ${window.length} requests in a second while cold; ${bound} are borne`, attempts: window.map(({ attempt }) => attempt) }
        }
      }
      return undefined
    }
  }
}

/** Retries stay a small part of the requests. */
export const retriesBounded: PromiseCheck = {
  promise: 'retries of all gateways stay within their budget',
  find: ledger => {
    const windowMs = BOUNDS.retryWindowMs
    const repeats = [...groupByAttempt(ledger.arrivals).values()].flatMap(([, ...more]) => more).sort((a, b) => a.at - b.at)
    for (const { at } of repeats) {
      const inWindow = repeats.filter(other => other.at >= at && other.at < at + windowMs)
      const firsts = ledger.requests.filter(({ sentAt, kind }) => kind !== 'probe' && sentAt >= at && sentAt < at + windowMs).length
      if (inWindow.length <= firsts * BOUNDS.retryRatio + BOUNDS.retrySlack) continue
      return { promise: retriesBounded.promise, what: `${inWindow.length} retries beside ${firsts} requests`, attempts: inWindow.map(({ attempt }) => attempt) }
    }
    return undefined
  }
}

/** The fleet serves again once nothing disturbs it. */
export const servesWhenCalm: PromiseCheck = {
  promise: 'the fleet serves again once nothing disturbs it',
  find: ledger => {
    const from = (ledger.calmFrom ?? Infinity) + BOUNDS.recoveryMs
    const judged = ledger.requests.filter(req => req.kind !== 'probe' && req.body !== POISON && req.sentAt >= from && req.end !== undefined && req.end.kind !== 'left' &&
      !ledger.takenKeys.some(({ key }) => key === req.key))
    if (judged.length < MIN_JUDGED) return undefined
    const failed = judged.filter(({ end }) => end?.kind !== 'answer' || end.status !== 200)
    if (failed.length <= judged.length * (1 - BOUNDS.calmServed)) return undefined
    return { promise: servesWhenCalm.promise, what: `${failed.length} of ${judged.length} requests were not served`, attempts: failed.map(({ attempt }) => attempt) }
  }
}

/** Invariants of the fleet: configuration, keys, zones, leaving and cold upstreams, retries, recovery. */
import type { Millis } from '@fuchsiaworks/kernel'
import { CRASH_PART, CRASH_REQUEST_BODY } from '../world/upstreamResponses.js'
import { BOUNDS } from './bounds.js'
import { groupByAttempt, requestByAttempt, runsByAttempt } from './byAttempt.js'
import { wasDisturbed, wasGatewayDisturbed } from './disturbances.js'
import type { Arrival, Violation, NamedSpan, Observations, InvariantCheck, SentRequest } from './observationTypes.js'

/** The platform's store, on which what a gateway knows depends. */
const STORE = ['store']

/** Fewest requests for which the share of failures is checked. */
const MIN_SAMPLE = 40

/** Status when the gateway's configuration has no such route. */
const NO_ROUTE = 404

/** Status of a gateway that has no configuration yet. */
const NOT_READY = 503

interface ProbeResponse {
  readonly req: SentRequest
  readonly at: Millis
  readonly status: number
}

const probeResponses = ({ requests }: Observations): ProbeResponse[] => requests.flatMap(req =>
  req.kind === 'probe' && req.end?.kind === 'response' ? [{ req, at: req.end.at, status: req.end.status }] : [])

const hasRoute = ({ status }: ProbeResponse): boolean => status !== NO_ROUTE && status !== NOT_READY

/** Once a process has applied a configuration, it does not apply an older one. */
export const noConfigurationRollback: InvariantCheck = {
  invariant: 'a process never goes back to an older configuration',
  find: observations => {
    const applied = probeResponses(observations).filter(hasRoute)
    for (const newer of applied) {
      const older = applied.find(({ req }) => req.gateway === newer.req.gateway && req.incarnation === newer.req.incarnation &&
        (req.revision ?? 0) < (newer.req.revision ?? 0) && req.sentAt > newer.at + BOUNDS.rollbackSlackMs)
      if (older === undefined) continue
      return { invariant: noConfigurationRollback.invariant, description: `revision ${older.req.revision ?? 0} was applied after revision ${newer.req.revision ?? 0}`, attempts: [newer.req.attempt, older.req.attempt] }
    }
    return undefined
  }
}

/** An undisturbed gateway applies a configuration within the bound. */
export const configurationAppliedInTime: InvariantCheck = {
  invariant: 'a published configuration is applied in time',
  find: observations => {
    for (const { req, at, status } of probeResponses(observations)) {
      const published = observations.publications.find(({ revision }) => revision === req.revision)
      const next = observations.publications.find(({ revision }) => revision > (req.revision ?? 0))
      if (published === undefined || status !== NO_ROUTE || req.sentAt <= published.at + BOUNDS.configurationMs) continue
      if ((next?.at ?? Infinity) <= at || wasGatewayDisturbed(observations, req.gateway, req.sentAt, at, STORE)) continue
      return { invariant: configurationAppliedInTime.invariant, description: `revision ${req.revision ?? 0} was not applied ${Math.round(req.sentAt - published.at)} ms after its publication`, attempts: [req.attempt] }
    }
    return undefined
  }
}

/** A revoked key stops working, also at gateways that are cut off from the store. */
export const revokedKeysStop: InvariantCheck = {
  invariant: 'a revoked key stops working',
  find: observations => {
    const ran = runsByAttempt(observations)
    for (const { key, attempt, sentAt } of observations.requests) {
      const revocation = observations.revokedKeys.find(one => one.key === key)
      if (revocation === undefined || sentAt <= revocation.at + BOUNDS.revokeMs || !ran.has(attempt)) continue
      return { invariant: revokedKeysStop.invariant, description: `a request ran ${Math.round(sentAt - revocation.at)} ms after its key was revoked`, attempts: [attempt] }
    }
    return undefined
  }
}

const findLateRequest = (observations: Observations, invariant: string, spans: readonly NamedSpan[], nameOf: (arrival: Arrival) => string, boundMs: Millis): Violation | undefined => {
  const requests = requestByAttempt(observations)
  for (const { name, from, to } of spans) {
    for (const arrival of observations.arrivals) {
      const req = requests.get(arrival.attempt)
      if (nameOf(arrival) !== name || arrival.at <= from + boundMs || arrival.at >= (to ?? Infinity) || req === undefined) continue
      if (wasGatewayDisturbed(observations, req.gateway, req.sentAt, arrival.at, STORE)) continue
      return { invariant, description: `${arrival.upstream} received a request ${Math.round(arrival.at - from)} ms after ${name} was excluded or leaving`, attempts: [arrival.attempt] }
    }
  }
  return undefined
}

/** An excluded zone gets no new requests. */
export const excludedZonesIdle: InvariantCheck = {
  invariant: 'an excluded zone gets no new requests',
  find: observations => findLateRequest(observations, excludedZonesIdle.invariant, observations.excludedZones, ({ zone }) => zone, BOUNDS.zoneExclusionMs)
}

/** A leaving upstream gets no new requests. */
export const leavingUpstreamsIdle: InvariantCheck = {
  invariant: 'a leaving upstream gets no new requests',
  find: observations => findLateRequest(observations, leavingUpstreamsIdle.invariant, observations.leaving, ({ upstream }) => upstream, BOUNDS.leavingMs)
}

/** A cold upstream gets no more requests per second than its rate limit allows, over all gateways. */
export const coldUpstreamsRateLimited = (perSecond: number): InvariantCheck => {
  const invariant = 'all gateways together keep to the rate limit of a cold upstream'
  const bound = perSecond * BOUNDS.coldRateFactor + BOUNDS.coldRateSlack
  return {
    invariant,
    find: observations => {
      for (const { name, from, to } of observations.cold) {
        const coldArrivals = observations.arrivals.filter(({ upstream, at }) => upstream === name && at >= from && at <= (to ?? Infinity))
        for (const [index, { at }] of coldArrivals.entries()) {
          const window = coldArrivals.slice(index).filter(other => other.at < at + BOUNDS.coldWindowMs)
          // Requests that a disturbed link held back arrive in a burst.
          if (window.length <= bound || wasDisturbed(observations, [`upstream-link ${name}`], at, at)) continue
          return { invariant, description: `${name} received ${window.length} requests within a second while cold; the bound is ${bound}`, attempts: window.map(({ attempt }) => attempt) }
        }
      }
      return undefined
    }
  }
}

/** Retries stay within their share of the requests. */
export const retriesWithinBudget: InvariantCheck = {
  invariant: 'retries of all gateways together stay within the retry budget',
  find: observations => {
    const windowMs = BOUNDS.retryWindowMs
    const retries = [...groupByAttempt(observations.arrivals).values()].flatMap(([, ...more]) => more).sort((a, b) => a.at - b.at)
    for (const { at } of retries) {
      const inWindow = retries.filter(other => other.at >= at && other.at < at + windowMs)
      const firstAttempts = observations.requests.filter(({ sentAt, kind }) => kind !== 'probe' && sentAt >= at && sentAt < at + windowMs).length
      if (inWindow.length <= firstAttempts * BOUNDS.retryRatio + BOUNDS.retrySlack) continue
      return { invariant: retriesWithinBudget.invariant, description: `${inWindow.length} retries for ${firstAttempts} requests within one window`, attempts: inWindow.map(({ attempt }) => attempt) }
    }
    return undefined
  }
}

/** After the last fault the fleet serves nearly all requests. */
export const recoversAfterFaults: InvariantCheck = {
  invariant: 'the fleet serves requests again after the last fault',
  find: observations => {
    const from = (observations.faultFreeFrom ?? Infinity) + BOUNDS.faultRecoveryMs
    const sample = observations.requests.filter(req => req.kind !== 'probe' && req.body !== CRASH_REQUEST_BODY && req.parts?.includes(CRASH_PART) !== true && req.sentAt >= from && req.end !== undefined && req.end.kind !== 'left' &&
      !observations.revokedKeys.some(({ key }) => key === req.key))
    if (sample.length < MIN_SAMPLE) return undefined
    const failed = sample.filter(({ end }) => end?.kind !== 'response' || end.status !== 200)
    if (failed.length <= sample.length * (1 - BOUNDS.servedShareAfterFaults)) return undefined
    return { invariant: recoversAfterFaults.invariant, description: `${failed.length} of ${sample.length} requests were not served`, attempts: failed.map(({ attempt }) => attempt) }
  }
}

/** A ready gateway responds to some of the callers that open connections to it, also when they are more than it can serve. */
export const newConnectionsTaken: InvariantCheck = {
  invariant: 'a ready gateway takes new connections',
  find: observations => {
    const byGateway = new Map<number, SentRequest[]>()
    for (const req of observations.requests) if (req.isSurge === true && req.end !== undefined) byGateway.set(req.gateway, [...byGateway.get(req.gateway) ?? [], req])
    for (const [gateway, requests] of byGateway) {
      let unanswered: SentRequest[] = []
      for (const req of requests) {
        const last = unanswered.at(-1)
        // A pause between the callers of two surges is no time in which the gateway took none.
        const isContinued = last !== undefined && req.sentAt - last.sentAt < BOUNDS.newConnectionMs / 2
        unanswered = req.end?.kind === 'response' ? [] : isContinued ? [...unanswered, req] : [req]
        const spanMs = req.sentAt - (unanswered[0]?.sentAt ?? req.sentAt)
        if (spanMs < BOUNDS.newConnectionMs || unanswered.length < BOUNDS.newConnectionCallers) continue
        if (wasGatewayDisturbed(observations, gateway, req.sentAt - spanMs, req.sentAt, STORE)) continue
        return { invariant: newConnectionsTaken.invariant, description: `gateway ${gateway} responded to none of ${unanswered.length} callers in ${Math.round(spanMs)} ms`, attempts: unanswered.map(({ attempt }) => attempt) }
      }
    }
    return undefined
  }
}

/** Callers that are more than a gateway can serve are served by its peers or refused at once; they do not wait until they give up. */
export const surgesAnswered: InvariantCheck = {
  invariant: 'callers that press on a gateway are served or refused in time',
  find: observations => {
    const ended = observations.requests.filter(req => req.isSurge === true && req.end !== undefined && !wasGatewayDisturbed(observations, req.gateway, req.sentAt, req.end.at, STORE))
    const left = ended.filter(({ end }) => end?.kind === 'left')
    if (ended.length < MIN_SAMPLE || left.length <= ended.length * BOUNDS.unansweredSurgeShare) return undefined
    return { invariant: surgesAnswered.invariant, description: `${left.length} of ${ended.length} callers of a surge left without a response`, attempts: left.map(({ attempt }) => attempt) }
  }
}

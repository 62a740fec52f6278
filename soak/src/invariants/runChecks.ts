/** Promises about what upstreams run. */
import type { Millis } from '@fuchsiaworks/kernel'
import { CRASH_REQUEST_BODY } from '../world/upstreamResponses.js'
import { BOUNDS } from './bounds.js'
import { requestByAttempt, runsByAttempt } from './byAttempt.js'
import { hadPlannedDisturbance, componentsOfArrival, componentsOfGateway, hadUnplannedDisturbance, wasDisturbed } from './disturbances.js'
import type { Arrival, Observations, InvariantCheck, SentRequest } from './observationTypes.js'

/** Upstreams to which the routes of a soak let a request go. */
export const MAX_ATTEMPTS = 2

/** Milliseconds after which the run that a stream left behind must have ended. */
const RESUMED_STREAM_STOP_MS = 400

/** Broken connections that are borne where nothing was disturbed or planned: those of chance. */
const TOLERATED_LOSSES = 3

/** Nothing that must not repeat runs twice. */
export const runsWithinLimit: InvariantCheck = {
  invariant: 'nothing that must not repeat runs twice',
  find: observations => {
    const attemptRuns = runsByAttempt(observations)
    for (const { attempt, kind } of observations.requests) {
      const count = attemptRuns.get(attempt)?.length ?? 0
      if (count > (kind === 'once' ? 1 : MAX_ATTEMPTS)) {
        return { invariant: runsWithinLimit.invariant, description: `a request of kind ${kind} ran ${count} times`, attempts: [attempt] }
      }
    }
    return undefined
  }
}

const describeWrongArrival = (arrival: Arrival, req: SentRequest | undefined): string | undefined => {
  if (req === undefined) return 'an upstream got a request that nobody sent'
  if (arrival.path !== req.path || arrival.body !== req.body) return 'an upstream got another path or body than was sent'
  if (arrival.workspace !== req.workspace) return `an upstream was told the workspace ${String(arrival.workspace)} in place of ${String(req.workspace)}`
  return arrival.hasApiKey ? 'an upstream got the key of a caller' : undefined
}

/** Upstreams get what callers sent, and the workspace of their keys. */
export const arrivalsMatchRequests: InvariantCheck = {
  invariant: 'upstreams get what callers sent, in the name of their workspace',
  find: observations => {
    const requests = requestByAttempt(observations)
    for (const arrival of observations.arrivals) {
      const description = describeWrongArrival(arrival, requests.get(arrival.attempt))
      if (description !== undefined) return { invariant: arrivalsMatchRequests.invariant, description, attempts: [arrival.attempt] }
    }
    return undefined
  }
}

/** A stream that goes on elsewhere is no longer worked on where it was. */
export const resumedStreamsStopped: InvariantCheck = {
  invariant: 'a stream that goes on elsewhere is not worked on where it was',
  find: (observations, now) => {
    const requests = requestByAttempt(observations)
    for (const [attempt, [first, second]] of runsByAttempt(observations)) {
      if (first === undefined || second === undefined) continue
      const limit = second.at + RESUMED_STREAM_STOP_MS
      if ((first.endedAt ?? now) <= limit) continue
      const components = [...componentsOfArrival(first), ...componentsOfGateway(requests.get(attempt)?.gateway ?? -1)]
      if (wasDisturbed(observations, components, first.at, limit)) continue
      return { invariant: resumedStreamsStopped.invariant, description: `${first.upstream} still worked on it ${RESUMED_STREAM_STOP_MS} ms after ${second.upstream} had begun`, attempts: [attempt] }
    }
    return undefined
  }
}

/** A request that ends the upstreams that run it is soon sent to none. */
export const crashRequestsContained: InvariantCheck = {
  invariant: 'a request that ends upstreams is contained',
  find: observations => {
    const requests = requestByAttempt(observations)
    const runs = observations.arrivals.filter(({ body, ran }) => ran && body === CRASH_REQUEST_BODY)
    const last = runs[BOUNDS.crashesPerRequest - 1]
    if (last === undefined) return undefined
    const lateAttempts = runs.filter(({ attempt, at }) => at > last.at + BOUNDS.recoveryFromDisturbanceMs && !wasDisturbed(observations, componentsOfGateway(requests.get(attempt)?.gateway ?? -1), at, at))
    if (lateAttempts.length <= BOUNDS.lateCrashRequests) return undefined
    return { invariant: crashRequestsContained.invariant, description: `it reached upstreams ${lateAttempts.length} times more`, attempts: lateAttempts.map(({ attempt }) => attempt) }
  }
}

/** Requests of callers that have left, with what still reached upstreams or was still worked on. */
const findAbandonedWork = (observations: Observations, now: Millis): { late: string[], workingAttempts: string[], stoppable: number } => {
  const arrivals = runsByAttempt(observations)
  const late: string[] = []
  const working: string[] = []
  let stoppable = 0
  for (const { attempt, end, gateway, kind, sentAt } of observations.requests) {
    if (end?.kind !== 'left') continue
    const limit = end.at + BOUNDS.abandonedWorkMs
    if (limit > now || wasDisturbed(observations, componentsOfGateway(gateway), sentAt, limit)) continue
    for (const arrival of arrivals.get(attempt) ?? []) {
      if (arrival.at > limit) late.push(attempt)
      if (kind === 'once' || arrival.at + arrival.workMs <= limit || wasDisturbed(observations, componentsOfArrival(arrival), sentAt, limit)) continue
      stoppable += 1
      if ((arrival.endedAt ?? now) > limit) working.push(attempt)
    }
  }
  return { late, workingAttempts: working, stoppable }
}

/** Work for callers that have left ends. */
export const abandonedWorkStopped: InvariantCheck = {
  invariant: 'nothing is done for callers that have left',
  find: (observations, now) => {
    const { late, workingAttempts: working, stoppable } = findAbandonedWork(observations, now)
    if (late.length > BOUNDS.lateAbandonedRequests) return { invariant: abandonedWorkStopped.invariant, description: `${late.length} requests reached upstreams ${BOUNDS.abandonedWorkMs} ms after their callers had left`, attempts: late }
    if (working.length <= stoppable / 4) return undefined
    return { invariant: abandonedWorkStopped.invariant, description: `${working.length} of ${stoppable} requests were worked on ${BOUNDS.abandonedWorkMs} ms after their callers had left`, attempts: working }
  }
}

/** Requests whose connection ended without a whole answer although an upstream was at work on them and nothing excuses it. */
const findLostRequests = (observations: Observations, isPlanned: boolean): string[] => {
  const arrivals = runsByAttempt(observations)
  return observations.requests.filter(({ attempt, end, gateway, sentAt, timeoutMs }) => {
    if (end?.kind !== 'broken' || end.at >= sentAt + timeoutMs) return false
    const runs = arrivals.get(attempt) ?? []
    if (runs.length === 0 || runs.some(run => run.end === 'failed')) return false
    if (hadPlannedDisturbance(observations, gateway, sentAt, end.at) !== isPlanned) return false
    if (isPlanned) return !hadUnplannedDisturbance(observations, sentAt, end.at)
    return !wasDisturbed(observations, [...componentsOfGateway(gateway), ...runs.flatMap(componentsOfArrival)], sentAt, end.at)
  }).map(({ attempt }) => attempt)
}

/** Planned work cuts nothing. */
export const runningRequestsCompleted: InvariantCheck = {
  invariant: 'requests that are worked on are answered, also while a gateway ends or reloads',
  find: observations => {
    const planned = findLostRequests(observations, true)
    if (planned.length > 0) return { invariant: runningRequestsCompleted.invariant, description: `planned work cut ${planned.length} requests`, attempts: planned }
    const others = findLostRequests(observations, false)
    if (others.length <= TOLERATED_LOSSES) return undefined
    return { invariant: runningRequestsCompleted.invariant, description: `undisturbed gateways cut ${others.length} requests`, attempts: others }
  }
}

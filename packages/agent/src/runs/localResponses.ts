/** Responses that the agent itself sends for a request, instead of the upstream: stored responses and problems. */
import type { RequestId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { KeyRefusal, StoredResponse } from '@fuchsiaworks/policy'
import type { Outcome } from '@fuchsiaworks/wire'

/** A problem (RFC 9457) that the agent sends instead of a response of the upstream. */
export interface LocalProblem {
  readonly status: number
  readonly type: string
  readonly detail: string
  readonly outcome: Outcome
}

/** Problem for a key that was used for a different request. */
export const keyConflict: LocalProblem = {
  status: 422, type: 'key-reused', detail: 'the Idempotency-Key was used for another request', outcome: 'not-run'
}

/** Problem for a request that ran, but whose response is not stored or no longer stored. */
export const responseNotStored: LocalProblem = {
  status: 409, type: 'answer-not-kept', detail: 'the request of this Idempotency-Key ran; its answer is no longer kept', outcome: 'ran'
}

/** Problems for requests that did not run because their key was refused. */
export const keyRefusals: Readonly<Record<Exclude<KeyRefusal, 'not-home'>, LocalProblem>> = {
  'key-from-future': { status: 400, type: 'key-from-future', detail: 'the time in the Idempotency-Key lies ahead', outcome: 'not-run' },
  'too-many-waiters': { status: 429, type: 'too-many-waiters', detail: 'too many requests wait for the first run of the key', outcome: 'not-run' },
  'too-many-keys': { status: 503, type: 'too-many-keys', detail: 'too many keyed requests of the workspace run', outcome: 'not-run' }
}

/**
 * Sends a complete response.
 *
 * @param link - the router
 * @param request - the request
 * @param response - the response
 */
export const sendResponse = (link: FleetLink, request: RequestId, { status, headers, body }: StoredResponse): void => {
  link.send({ kind: 'accepted', request })
  link.send({ kind: 'response-head', request, status, headers })
  if (body.byteLength > 0) link.send({ kind: 'response-body', request, data: body })
  link.send({ kind: 'response-end', request, trailers: [], cost: 0 })
}

/**
 * Sends a problem as the response.
 *
 * @param link - the router
 * @param request - the request
 * @param problem - the problem
 */
export const sendProblem = (link: FleetLink, request: RequestId, { type, ...rest }: LocalProblem): void => {
  const body = Buffer.from(JSON.stringify({ ...rest, type: `urn:fuchsiaworks:${type}` }))
  const headers = [['content-type', 'application/problem+json'], ['content-length', String(body.length)]] as const
  sendResponse(link, request, { status: rest.status, headers, body })
}

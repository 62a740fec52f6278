/** Answers that the agent itself gives for a request, in place of the upstream. */
import type { RequestId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { KeyRefusal, StoredResponse } from '@fuchsiaworks/policy'
import type { Outcome } from '@fuchsiaworks/wire'

/** What is told in place of an answer. */
export interface LocalProblem {
  readonly status: number
  readonly type: string
  readonly detail: string
  readonly outcome: Outcome
}

/** Told when a key was used for another request. */
export const keyConflict: LocalProblem = {
  status: 422, type: 'key-reused', detail: 'the Idempotency-Key was used for another request', outcome: 'not-run'
}

/** Told when the request ran but its answer is no longer kept. */
export const responseNotStored: LocalProblem = {
  status: 409, type: 'answer-not-kept', detail: 'the request of this Idempotency-Key ran; its answer is no longer kept', outcome: 'ran'
}

/** Told when a key cannot be taken; nothing ran. */
export const keyRefusals: Readonly<Record<Exclude<KeyRefusal, 'not-home'>, LocalProblem>> = {
  'key-from-future': { status: 400, type: 'key-from-future', detail: 'the time in the Idempotency-Key lies ahead', outcome: 'not-run' },
  'too-many-waiters': { status: 429, type: 'too-many-waiters', detail: 'too many requests wait for the first run of the key', outcome: 'not-run' },
  'too-many-keys': { status: 503, type: 'too-many-keys', detail: 'too many keyed requests of the workspace run', outcome: 'not-run' }
}

/**
 * Sends a whole answer.
 *
 * @param link - the router
 * @param request - the request
 * @param answer - what to send
 */
export const sendResponse = (link: FleetLink, request: RequestId, { status, headers, body }: StoredResponse): void => {
  link.send({ kind: 'accepted', request })
  link.send({ kind: 'response-head', request, status, headers })
  if (body.byteLength > 0) link.send({ kind: 'response-body', request, data: body })
  link.send({ kind: 'response-end', request, trailers: [], cost: 0 })
}

/**
 * Sends a problem as the answer.
 *
 * @param link - the router
 * @param request - the request
 * @param problem - what to tell
 */
export const sendProblem = (link: FleetLink, request: RequestId, { type, ...rest }: LocalProblem): void => {
  const body = Buffer.from(JSON.stringify({ ...rest, type: `urn:fuchsiaworks:${type}` }))
  const headers = [['content-type', 'application/problem+json'], ['content-length', String(body.length)]] as const
  sendResponse(link, request, { status: rest.status, headers, body })
}

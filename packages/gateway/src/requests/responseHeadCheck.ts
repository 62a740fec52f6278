/** Decides by its head whether the response of an attempt may be forwarded. */
import type { AttemptFailure, ResponseAttribution } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { ResponseHead } from '../port/headerPort.js'
import type { CallerRequest } from './callerRequest.js'
import type { ResponseRelay } from './responseRelay.js'
import { MISDIRECTED_REQUEST_STATUS, UNAVAILABLE_STATUS } from './upstreamAnnouncements.js'

/** Statuses that tell callers that a request has not run; 421, the fourth, states so by itself. */
const NOT_RUN_STATUSES = new Set([408, 429, UNAVAILABLE_STATUS])

/** @returns why a response must not be forwarded; undefined when it may be */
export const findHeadFailure = ({ request, relay }: { readonly request: CallerRequest, readonly relay: ResponseRelay }, head: ResponseHead, status: number, headers: HeaderList, attribution: ResponseAttribution): AttemptFailure | undefined => {
  if (attribution !== 'own') return { kind: 'uncertain', reason: attribution }
  if (head.isNotExecuted || status === MISDIRECTED_REQUEST_STATUS) return { kind: 'not-run', reason: status === UNAVAILABLE_STATUS ? 'full' : 'declined' }
  // The caller would send the request once more.
  if (request.route.repeatability === 'once' && NOT_RUN_STATUSES.has(status)) return { kind: 'uncertain', reason: 'unconfirmed' }
  if (head.isEncoded || (status < 300 && head.seal === undefined)) return { kind: 'uncertain', reason: 'garbled' }
  if (relay.hasStarted && status !== relay.status) return { kind: 'error-answer', status }
  const reason = relay.headProblem(status, headers)
  return reason && { kind: 'uncertain', reason }
}

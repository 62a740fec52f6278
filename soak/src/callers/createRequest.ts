/** Creates the record of a request of a valid caller. */
import type { Clock } from '@fuchsiaworks/kernel'
import type { RequestKind, SentRequest } from '../invariants/observationTypes.js'
import type { Operator } from '../world/operator.js'
import { ROUTE_TIMEOUTS_MS } from '../world/routes.js'

/** What tells one request from another. */
export interface RequestContent extends Pick<SentRequest, 'gateway' | 'attempt'>, Pick<Partial<SentRequest>, 'parts' | 'resumes'> {
  readonly kind: RequestKind
}

/**
 * Creates a request, with a key that is never revoked.
 *
 * @returns undefined when there is no such key
 */
export const createRequest = (clock: Clock, operator: Operator, { kind, attempt, ...content }: RequestContent): SentRequest | undefined => {
  const apiKey = operator.keyOfFirstWorkspace()
  if (apiKey === undefined) return undefined
  return {
    incarnation: 1,
    attempt,
    kind,
    path: `/${kind}/x`,
    body: `body of ${attempt}`,
    key: apiKey.key,
    workspace: apiKey.workspace,
    sentAt: clock.now(),
    timeoutMs: ROUTE_TIMEOUTS_MS[kind],
    revision: undefined,
    end: undefined,
    ...content
  }
}

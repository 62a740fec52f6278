/** Builds handover messages. */
import type { HandoverMessage } from '@fuchsiaworks/wire'
import type { OpenRequest } from './openRequest.js'

/**
 * Creates the message that hands a request over to an agent.
 *
 * @param request - the request
 * @param pull - number of the pull that it fulfils
 */
export const createHandover = ({ facts, bodyPrefix, attempts, alone }: OpenRequest, pull: number): HandoverMessage => ({
  kind: 'handover',
  pull,
  request: facts.id,
  service: facts.service,
  workspace: facts.workspace,
  method: facts.method,
  path: facts.path,
  headers: facts.headers,
  idempotent: facts.idempotent,
  key: facts.key,
  fingerprint: facts.fingerprint,
  estimate: facts.estimate,
  body: bodyPrefix.data,
  bodyEnded: bodyPrefix.ended,
  attempt: attempts,
  alone
})

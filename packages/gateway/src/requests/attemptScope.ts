/** What all attempts of one request share. */
import type { Admission } from './admission.js'
import type { CallerRequest } from './callerRequest.js'
import type { CallerTraits } from './callerTraits.js'
import type { FlowContext } from './flowContext.js'
import type { ResponseRelay } from './responseRelay.js'
import type { StreamOrigin } from './streamOrigin.js'

export interface AttemptScope {
  readonly ctx: FlowContext
  readonly request: CallerRequest
  readonly relay: ResponseRelay
  readonly admission: Admission
  readonly origin: StreamOrigin
  readonly traits: CallerTraits
}

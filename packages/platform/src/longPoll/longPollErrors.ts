/** Errors of reads from a platform service. */
import { FuchsiaError, type Millis } from '@fuchsiaworks/kernel'

/** The service returned a status other than 200 and 204. */
export class UnexpectedStatusError extends FuchsiaError {
  constructor (status: number) {
    super('unexpected-status', `the service answered with status ${status}`)
  }
}

/** The service did not complete its response within the requested wait and the grace period after it. */
export class ReadTimeoutError extends FuchsiaError {
  constructor (limitMs: Millis) {
    super('slow-service', `the service gave no whole answer within ${limitMs} ms`)
  }
}

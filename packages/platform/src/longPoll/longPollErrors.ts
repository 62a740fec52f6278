/** Errors of reads from the platform. */
import { FuchsiaError, type Millis } from '@fuchsiaworks/kernel'

/** The service answered with a status that the watch does not know. */
export class UnexpectedStatusError extends FuchsiaError {
  constructor (status: number) {
    super('unexpected-status', `the service answered with status ${status}`)
  }
}

/** The service held a read for longer than it was allowed to. */
export class ReadTimeoutError extends FuchsiaError {
  constructor (limitMs: Millis) {
    super('slow-service', `the service gave no whole answer within ${limitMs} ms`)
  }
}

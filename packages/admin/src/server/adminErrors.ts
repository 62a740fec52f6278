/** Errors of administration requests that map to an HTTP status. */
import { FuchsiaError } from '@fuchsiaworks/kernel'

/** Error of an administration request, sent to the caller as an HTTP problem. */
export class AdminRequestError extends FuchsiaError {
  /**
   * @param status - HTTP status
   * @param code - stable error code, sent as the title of the problem
   * @param message - one sentence for the operator, sent as the detail of the problem
   * @param headers - additional response headers
   */
  constructor (readonly status: number, code: string, message: string, readonly headers: Readonly<Record<string, string>> = {}) {
    super(code, message)
  }
}

/** @returns the error for a missing or wrong key */
export const unauthorized = (): AdminRequestError =>
  new AdminRequestError(401, 'unauthorized', 'the administration key is missing or wrong', { 'www-authenticate': 'Bearer' })

/** @returns the error for a path without a route */
export const unknownRoute = (): AdminRequestError =>
  new AdminRequestError(404, 'unknown-route', 'no route has this path')

/**
 * @param allowed - methods of the routes with this path
 * @returns the error for a known path with another method
 */
export const wrongMethod = (allowed: readonly string[]): AdminRequestError =>
  new AdminRequestError(405, 'wrong-method', `this path takes ${allowed.join(' and ')}`, { allow: allowed.join(', ') })

/**
 * @param message - what is wrong with the query or body
 * @returns the error for a request with invalid input
 */
export const badRequest = (message: string): AdminRequestError =>
  new AdminRequestError(400, 'bad-request', message)

/**
 * @param limit - largest accepted body, in bytes
 * @returns the error for a body that is too large
 */
export const bodyTooLarge = (limit: number): AdminRequestError =>
  new AdminRequestError(413, 'body-too-large', `a body may have ${limit} bytes at most`, { connection: 'close' })

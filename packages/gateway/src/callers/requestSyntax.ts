/** Which requests of callers are well-formed, and the refusals of those that are not. */
import type { IncomingMessage } from 'node:http'
import type { Refusal } from '../requests/refusals.js'

/** Characters of a request target; Node.js also lets tabs pass. */
const TARGET = /^[!-~\u0080-\u00ff]+$/

/** Whether a request can be sent on: a target with other characters and several Host headers cannot (RFC 9112, section 3.2). */
export const isWellFormed = ({ url, rawHeaders }: IncomingMessage): boolean =>
  TARGET.test(url ?? '') && rawHeaders.filter((name, at) => at % 2 === 0 && name.length === 4 && name.toLowerCase() === 'host').length <= 1

/**
 * Code of the parser's error for bytes behind a whole request that asks to close its connection. The parser of Node.js up to 20.19.1 (llhttp 8) drops
 * them without a word, later ones (llhttp 9) report each read of them.
 */
export const BEHIND_LAST_REQUEST = 'HPE_CLOSED_CONNECTION'

/** Refusal of bytes that are no complete request, by the code of the parser's error. */
export const parseRefusal = (code: string | undefined): Refusal => {
  switch (code) {
    case 'ERR_HTTP_REQUEST_TIMEOUT': return { status: 408, reason: 'headers-timeout' }
    case 'HPE_HEADER_OVERFLOW': return { status: 431, reason: 'headers-too-long' }
    case 'HPE_CHUNK_EXTENSIONS_OVERFLOW': return { status: 413, reason: 'body-too-long' }
    default: return { status: 400, reason: 'malformed-request' }
  }
}

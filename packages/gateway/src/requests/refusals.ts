/** Error responses that the gateway sends itself. */
import { type ServerResponse, STATUS_CODES } from 'node:http'
import type { Millis } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { HeaderPort } from '../port/headerPort.js'

/** Error response to a caller. */
export interface Refusal {
  readonly status: number
  /** Stable identifier of the reason, in kebab case. */
  readonly reason: string
  /** Time after which a retry is expected to succeed; undefined when a retry does not help. */
  readonly retryAfterMs?: Millis
}

/** The time of the request was over before it could be sent, so that it has not run. */
export const TOO_LATE: Refusal = { status: 503, reason: 'too-late' }

const encodeRefusal = (port: HeaderPort, { reason, retryAfterMs }: Refusal): { body: string, headers: HeaderList } => {
  const body = JSON.stringify({ error: reason })
  const retryAfter = retryAfterMs === undefined ? [] : port.encodeRetryAfter(retryAfterMs)
  return { body, headers: [...retryAfter, ['content-type', 'application/json'], ['content-length', String(Buffer.byteLength(body))]] }
}

/**
 * Encodes a refusal as the bytes of a response that closes its connection, for a connection that no HTTP server serves.
 *
 * @param port - encodes the retry delay
 * @param refusal - status and reason
 */
export const rawRefusal = (port: HeaderPort, refusal: Refusal): string => {
  const { body, headers } = encodeRefusal(port, refusal)
  const lines = [...headers, ['connection', 'close']].map(([name, value]) => `${name}: ${value}\r\n`).join('')
  return `HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status] ?? ''}\r\n${lines}\r\n${body}`
}

/**
 * Sends a refusal, or closes the connection when a part of a response has been sent.
 *
 * @param res - the caller's response
 * @param port - encodes the retry delay
 * @param refusal - status and reason
 */
export const sendRefusal = (res: ServerResponse, port: HeaderPort, refusal: Refusal): void => {
  if (res.writableEnded || res.destroyed) return
  if (res.headersSent) {
    res.destroy()
    return
  }
  const { body, headers } = encodeRefusal(port, refusal)
  for (const [name, value] of headers) res.setHeader(name, value)
  res.writeHead(refusal.status)
  res.end(body)
}

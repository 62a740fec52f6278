/** Error responses that the gateway sends itself. */
import type { ServerResponse } from 'node:http'
import type { Millis } from '@fuchsiaworks/kernel'
import type { HeaderPort } from '../port/headerPort.js'

/** Error response to a caller. */
export interface Refusal {
  readonly status: number
  /** Stable identifier of the reason, in kebab case. */
  readonly reason: string
  /** Time after which a retry is expected to succeed; undefined when a retry does not help. */
  readonly retryAfterMs?: Millis
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
  const body = JSON.stringify({ error: refusal.reason })
  const headers = refusal.retryAfterMs === undefined ? [] : port.encodeRetryAfter(refusal.retryAfterMs)
  for (const [name, value] of headers) res.setHeader(name, value)
  res.writeHead(refusal.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) })
  res.end(body)
}

/** Answers that the router gives itself. */
import type { ServerResponse } from 'node:http'
import type { Millis } from '@fuchsiaworks/kernel'
import type { HeaderPort } from '../port/headerPort.js'

/** What the caller is told. */
export interface Refusal {
  readonly status: number
  /** Stable name of the reason, in kebab case. */
  readonly reason: string
  /** Milliseconds after which the caller is expected to be served; undefined when coming back does not help. */
  readonly returnMs?: Millis
}

/**
 * Sends a refusal, or closes the connection when a part of an answer has been sent.
 *
 * @param res - the caller's response
 * @param port - encodes the time to return
 * @param refusal - what to tell
 */
export const sendRefusal = (res: ServerResponse, port: HeaderPort, refusal: Refusal): void => {
  if (res.writableEnded || res.destroyed) return
  if (res.headersSent) {
    res.destroy()
    return
  }
  const body = JSON.stringify({ error: refusal.reason })
  const headers = refusal.returnMs === undefined ? [] : port.encodeRetryAfter(refusal.returnMs)
  for (const [name, value] of headers) res.setHeader(name, value)
  res.writeHead(refusal.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) })
  res.end(body)
}

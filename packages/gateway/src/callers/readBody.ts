/** Reads a caller's request body whole, within a bound. */
import type { IncomingMessage } from 'node:http'

/** How reading ended. */
export type BodyResult =
  { readonly kind: 'complete', readonly body: Buffer } |
  /** Longer than is taken. */
  { readonly kind: 'too-long' } |
  /** The caller closed the connection, or its framing was broken. */
  { readonly kind: 'aborted' }

/**
 * Reads a body.
 *
 * @param req - the request
 * @param maxBytes - longest body that is taken
 * @returns the body, or why there is none; never rejects
 */
export const readCallerBody = async (req: IncomingMessage, maxBytes: number): Promise<BodyResult> =>
  await new Promise(resolve => {
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) return resolve({ kind: 'too-long' })
    const chunks: Buffer[] = []
    let length = 0
    req.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > maxBytes) return resolve({ kind: 'too-long' })
      chunks.push(chunk)
    })
    req.on('end', () => { resolve({ kind: 'complete', body: Buffer.concat(chunks, length) }) })
    req.on('error', () => { resolve({ kind: 'aborted' }) })
    req.on('close', () => { resolve({ kind: 'aborted' }) })
  })

/** Buffers the complete body of a caller's request, up to a size limit. */
import type { IncomingMessage } from 'node:http'

/** Result of reading a body. */
export type BodyResult =
  { readonly kind: 'complete', readonly body: Buffer } |
  /** The body exceeds the size limit. */
  { readonly kind: 'too-long' } |
  /** The caller closed the connection, or the framing was invalid. */
  { readonly kind: 'aborted' }

/**
 * Reads the body of a request.
 *
 * @param maxBytes - size limit
 * @returns the body or the reason why it could not be read; the promise never rejects
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

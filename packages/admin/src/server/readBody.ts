/** Reads the body of an administration request within a limit. */
import type { IncomingMessage } from 'node:http'
import { badRequest, bodyTooLarge } from './adminErrors.js'

/** Largest accepted body, in bytes. */
const MAX_BODY_BYTES = 65_536

/**
 * Reads a body as JSON.
 *
 * @param req - the request
 * @returns the parsed value; an empty object for an empty body
 * @throws AdminRequestError when the body is too large or not valid JSON
 */
export const readBody = async (req: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = []
  let receivedBytes = 0
  // Without destroyOnReturn: false, a throw would destroy the request and its socket before the error response is sent.
  for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length
    if (receivedBytes > MAX_BODY_BYTES) throw bodyTooLarge(MAX_BODY_BYTES)
    chunks.push(chunk)
  }
  if (receivedBytes === 0) return {}
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch {
    throw badRequest('the body is not valid JSON')
  }
}

/** Helpers to read and write HTTP messages. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Reads a complete request body.
 *
 * @param req - the request
 * @returns the body
 */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/**
 * Sends a JSON response.
 *
 * @param res - the response
 * @param status - HTTP status
 * @param value - the document
 */
export const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
  const text = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

/**
 * Parses the URL of a request.
 *
 * @param req - the request
 * @returns path and query; the origin is a placeholder
 */
export const requestUrl = (req: IncomingMessage): URL => new URL(req.url ?? '/', 'http://standin')

/**
 * Waits; resolves immediately for 0 or less.
 *
 * @param ms - milliseconds
 */
export const sleep = async (ms: number): Promise<void> => {
  if (ms <= 0) return
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

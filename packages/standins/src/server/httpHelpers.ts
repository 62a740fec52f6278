/** Reading and writing of HTTP messages, shared by the stand-ins. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Reads a request body to its end.
 *
 * @param req - the request
 * @returns the whole body
 */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/**
 * Answers with a JSON document.
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
 * Parses the address of a request.
 *
 * @param req - the request
 * @returns its path and query
 */
export const requestUrl = (req: IncomingMessage): URL => new URL(req.url ?? '/', 'http://standin')

/**
 * Waits.
 *
 * @param ms - milliseconds
 */
export const sleep = async (ms: number): Promise<void> => {
  if (ms <= 0) return
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

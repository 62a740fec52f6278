/** Turns planned requests into HTTP requests, each with a check of the response body. */
import { createHash } from 'node:crypto'
import { type ChatRequest, type PlainEcho, expectedChatBody, bodyFromNonce, zeroCreationTimes } from '@fuchsiaworks/standins'
import { assertNever } from '@fuchsiaworks/kernel'
import type { PlannedRequest } from './loadTypes.js'

/** An HTTP request to a router. */
export interface CallerRequest {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | undefined
  /**
   * Compares a complete response body with the expected one.
   *
   * @param responseBody - the body
   * @returns an empty string when the body is right, otherwise what differs
   */
  readonly checkBody: (responseBody: Buffer) => string
}

const sha256 = (data: Buffer): string => createHash('sha256').update(data).digest('hex')

const createBytesCheck = (expected: Buffer) => (responseBody: Buffer): string =>
  responseBody.equals(expected) ? '' : `body of ${responseBody.length} bytes differs from the expected ${expected.length} bytes`

const createChatRequest = (planned: PlannedRequest): CallerRequest => {
  const stream = planned.kind === 'stream'
  const prompt = `nonce=${planned.nonce} ${planned.filler}`
  const chat: ChatRequest = { prompt, maxTokens: planned.size, stream, includeUsage: false, model: 'bench' }
  const body = { model: 'bench', messages: [{ role: 'user', content: prompt }], max_tokens: planned.size, stream }
  return {
    method: 'POST',
    path: `/${planned.service}/v1/chat/completions`,
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify(body)),
    checkBody: responseBody => {
      const text = zeroCreationTimes(responseBody.toString('utf8'))
      return text === expectedChatBody(chat) ? '' : `completion differs from the expected one; it begins with: ${text.slice(0, 120)}`
    }
  }
}

const createEchoCheck = (planned: PlannedRequest, method: string, path: string, body: Buffer) => (responseBody: Buffer): string => {
  const echo = JSON.parse(responseBody.toString('utf8')) as PlainEcho
  if (echo.method !== method) return `upstream received method ${echo.method}`
  if (echo.path !== path) return `upstream received path ${echo.path} instead of ${path}`
  if (echo.nonce !== planned.nonce) return `response belongs to request ${echo.nonce}`
  if (echo.headers['x-bench'] !== planned.nonce) return 'upstream did not receive header x-bench unchanged'
  return echo.bodySha256 === sha256(body) ? '' : 'upstream received a different body'
}

const createPlainRequest = (planned: PlannedRequest, method: 'GET' | 'POST' | 'PUT', path: string, body: Buffer, key: string | undefined): CallerRequest => ({
  method,
  path: `/${planned.service}${path}`,
  headers: {
    'x-bench': planned.nonce,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
    ...(method === 'GET' ? {} : { 'content-type': 'application/octet-stream' })
  },
  body: method === 'GET' ? undefined : body,
  checkBody: createEchoCheck(planned, method, path, body)
})

/**
 * Creates the HTTP request of a planned request.
 *
 * @param planned - the planned request
 * @param postPath - path, below that of the service, for non-idempotent calls
 * @param createKey - creates an Idempotency-Key
 * @returns the request, with the check of its response
 */
export const createRequest = (planned: PlannedRequest, postPath: string, createKey: () => string): CallerRequest => {
  const { nonce, kind, size } = planned
  const query = planned.busyMs === undefined ? `nonce=${nonce}` : `nonce=${nonce}&busy=${planned.busyMs}`
  const smallBody = Buffer.from(`{"amount":${nonce.length},"nonce":"${nonce}"}`)
  switch (kind) {
    case 'stream':
    case 'completion':
      return createChatRequest(planned)
    case 'get': return createPlainRequest(planned, 'GET', `/members/7?${query}`, Buffer.alloc(0), undefined)
    case 'post': return createPlainRequest(planned, 'POST', `${postPath}?${query}`, smallBody, undefined)
    case 'post-keyed': return createPlainRequest(planned, 'POST', `${postPath}?${query}`, smallBody, createKey())
    case 'upload': return createPlainRequest(planned, 'PUT', `/documents/7?${query}`, bodyFromNonce(nonce, size), undefined)
    case 'download': {
      const req = createPlainRequest(planned, 'GET', `/documents/7?${query}&bytes=${size}`, Buffer.alloc(0), undefined)
      return { ...req, checkBody: createBytesCheck(bodyFromNonce(nonce, size)) }
    }
    default: return assertNever(kind)
  }
}

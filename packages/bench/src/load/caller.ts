/** HTTP client of the bench: sends requests to routers and classifies the responses. */
import { Pool } from 'undici'
import { toError } from '@fuchsiaworks/kernel'
import { bearerKeyOf } from '../deployment/documents.js'
import { type CallerRequest, createRequest } from './callerRequest.js'
import type { PlannedRequest, RequestResult, ResultKind } from './loadTypes.js'
import { newUuid7 } from './uuid7.js'
import { wallNow } from './wallClock.js'

/** Timeout for response headers, and for gaps between pieces of the body. */
const RESPONSE_TIMEOUT_MS = 45_000

/** Classification of a response, without its times. */
interface ResponseResult {
  readonly result: ResultKind
  readonly status: number
  readonly detail: string
}

/** Part of a response received so far; needed to classify one that is cut off. */
interface ResponseProgress {
  status: number
  firstByteAt: number | undefined
  readonly chunks: Buffer[]
}

const PROBLEM_OUTCOMES: readonly ResultKind[] = ['not-run', 'unknown', 'ran']

const classifyProblem = (status: number, body: Buffer): ResponseResult => {
  const text = body.toString('utf8')
  try {
    const { outcome } = JSON.parse(text) as { outcome?: ResultKind }
    const result = PROBLEM_OUTCOMES.find(kind => kind === outcome)
    return { result: result ?? 'wrong', status, detail: text.slice(0, 300) }
  } catch {
    return { result: 'wrong', status, detail: text.slice(0, 300) }
  }
}

const classifyResponse = (req: CallerRequest, status: number, body: Buffer): ResponseResult => {
  if (status !== 200) return classifyProblem(status, body)
  try {
    const difference = req.checkBody(body)
    return { result: difference === '' ? 'right' : 'wrong', status, detail: difference }
  } catch (err) {
    return { result: 'wrong', status, detail: toError(err).message }
  }
}

const classifyFailure = (progress: ResponseProgress, err: Error): ResponseResult =>
  ({ result: progress.status === 0 ? 'failed' : 'cut', status: progress.status, detail: err.message })

/** Sends requests on behalf of all workspaces over one connection pool for each router. */
export class Caller {
  readonly #pools: Pool[]

  /**
   * @param urls - URLs of the routers
   * @param postPaths - path of non-idempotent calls, by service
   * @param isAccepting - false for a router that a load balancer would skip; the next one gets its requests
   */
  constructor (
    urls: readonly string[],
    readonly postPaths: ReadonlyMap<string, string>,
    readonly isAccepting: (router: number) => boolean = () => true
  ) {
    this.#pools = urls.map(url => new Pool(url, { pipelining: 1, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS }))
  }

  /**
   * Sends one request and waits for the end of its response.
   *
   * @param planned - the request
   * @param intendedAt - wall-clock time at which the plan wanted it sent
   * @returns result of the request; a failure is a result, not an error
   */
  async send (planned: PlannedRequest, intendedAt: number): Promise<RequestResult> {
    const req = createRequest(planned, this.postPaths.get(planned.service) ?? '/', newUuid7)
    const progress: ResponseProgress = { status: 0, firstByteAt: undefined, chunks: [] }
    const responseResult = await this.#exchange(planned, req, progress)
    return { planned, ...responseResult, intendedAt, firstByteAt: progress.firstByteAt, endedAt: wallNow() }
  }

  async close (): Promise<void> {
    await Promise.all(this.#pools.map(async pool => { await pool.destroy() }))
  }

  #poolFor (router: number): Pool {
    const next = (router + 1) % this.#pools.length
    const pool = this.#pools[this.isAccepting(router) ? router : next]
    if (pool === undefined) throw new RangeError(`no router with index ${router}`)
    return pool
  }

  async #exchange (planned: PlannedRequest, req: CallerRequest, progress: ResponseProgress): Promise<ResponseResult> {
    const pool = this.#poolFor(planned.router)
    const headers = { ...req.headers, authorization: `Bearer ${bearerKeyOf(planned.workspace)}` }
    try {
      const res = await pool.request({ method: req.method, path: req.path, headers, body: req.body ?? null })
      progress.status = res.statusCode
      for await (const part of res.body) {
        progress.firstByteAt ??= wallNow()
        progress.chunks.push(part as Buffer)
      }
      return classifyResponse(req, progress.status, Buffer.concat(progress.chunks))
    } catch (err) {
      return classifyFailure(progress, toError(err))
    }
  }
}

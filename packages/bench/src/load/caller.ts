/** Sends requests to routers and judges the answers. */
import { Pool } from 'undici'
import { toError } from '@fuchsiaworks/kernel'
import { keyOf } from '../deployment/documents.js'
import { type CallerRequest, writeRequest } from './callerRequest.js'
import type { PlannedRequest, RequestResult, ResultKind } from './loadTypes.js'
import { newUuid7 } from './uuid7.js'
import { wallNow } from './wallClock.js'

/** Milliseconds after which a caller gives up on an answer. */
const CALLER_TIMEOUT_MS = 45_000

/** What an answer was, before times are added. */
interface Judgement {
  readonly result: ResultKind
  readonly status: number
  readonly detail: string
}

interface Progress {
  status: number
  firstByteAt: number | undefined
  readonly parts: Buffer[]
}

const OUTCOMES: readonly ResultKind[] = ['not-run', 'unknown', 'ran']

const judgeProblem = (status: number, body: Buffer): Judgement => {
  const text = body.toString('utf8')
  try {
    const { outcome } = JSON.parse(text) as { outcome?: ResultKind }
    const result = OUTCOMES.find(kind => kind === outcome)
    return { result: result ?? 'wrong', status, detail: text.slice(0, 300) }
  } catch {
    return { result: 'wrong', status, detail: text.slice(0, 300) }
  }
}

const judge = (req: CallerRequest, status: number, body: Buffer): Judgement => {
  if (status !== 200) return judgeProblem(status, body)
  try {
    const difference = req.check(body)
    return { result: difference === '' ? 'right' : 'wrong', status, detail: difference }
  } catch (err) {
    return { result: 'wrong', status, detail: toError(err).message }
  }
}

const judgeFailure = (progress: Progress, err: Error): Judgement =>
  ({ result: progress.status === 0 ? 'failed' : 'cut', status: progress.status, detail: err.message })

/** Callers of all workspaces. */
export class Caller {
  readonly #pools: Pool[]

  /**
   * @param urls - addresses of the routers
   * @param postPaths - path of non-idempotent calls by service
   * @param accepting - whether the balancer before the routers still sends to one
   */
  constructor (
    urls: readonly string[],
    readonly postPaths: ReadonlyMap<string, string>,
    readonly accepting: (router: number) => boolean = () => true
  ) {
    this.#pools = urls.map(url => new Pool(url, { pipelining: 1, headersTimeout: CALLER_TIMEOUT_MS, bodyTimeout: CALLER_TIMEOUT_MS }))
  }

  /**
   * Sends one request and waits for the end of its answer.
   *
   * @param planned - the request
   * @param intendedAt - wall-clock time at which it was to be sent
   * @returns what became of it
   */
  async send (planned: PlannedRequest, intendedAt: number): Promise<RequestResult> {
    const req = writeRequest(planned, this.postPaths.get(planned.service) ?? '/', newUuid7)
    const progress: Progress = { status: 0, firstByteAt: undefined, parts: [] }
    const judgement = await this.#exchange(planned, req, progress)
    return { planned, ...judgement, intendedAt, firstByteAt: progress.firstByteAt, endedAt: wallNow() }
  }

  async close (): Promise<void> {
    await Promise.all(this.#pools.map(async pool => { await pool.destroy() }))
  }

  #poolFor (router: number): Pool {
    const next = (router + 1) % this.#pools.length
    const pool = this.#pools[this.accepting(router) ? router : next]
    if (pool === undefined) throw new RangeError(`no router ${router}`)
    return pool
  }

  async #exchange (planned: PlannedRequest, req: CallerRequest, progress: Progress): Promise<Judgement> {
    const pool = this.#poolFor(planned.router)
    const headers = { ...req.headers, authorization: `Bearer ${keyOf(planned.workspace)}` }
    try {
      const res = await pool.request({ method: req.method, path: req.path, headers, body: req.body ?? null })
      progress.status = res.statusCode
      for await (const part of res.body) {
        progress.firstByteAt ??= wallNow()
        progress.parts.push(part as Buffer)
      }
      return judge(req, progress.status, Buffer.concat(progress.parts))
    } catch (err) {
      return judgeFailure(progress, toError(err))
    }
  }
}

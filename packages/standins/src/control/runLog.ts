/** Record of the requests that an upstream stand-in executed. */
import type { RequestRun, RunEnd } from './standinTypes.js'

/** Runs kept in the record, which bounds its memory. */
const MAX_RUNS = 300_000

/** Length of the intervals over which work is summed up. */
const WORK_INTERVAL_MS = 100

/** Work done for one group of callers in one interval. */
export interface WorkInterval {
  /** Wall-clock time of the start of the interval, in milliseconds. */
  readonly at: number
  /** Part of the nonce before its first dot, where callers put their workspace. */
  readonly group: string
  promptTokens: number
  work: number
}

/**
 * Returns the group of callers that a nonce belongs to: the part before the first dot.
 *
 * @param nonce - request identifier chosen by the caller
 */
export const callerGroupOf = (nonce: string): string => nonce.split('.', 1)[0] ?? nonce

/** Keeps each run, and the work done per interval and group of callers. */
export class RunLog {
  readonly #runs: RequestRun[] = []
  readonly #workIntervals = new Map<string, WorkInterval>()
  readonly #runsByNonce = new Map<string, number>()

  /**
   * Records that a request starts to run.
   *
   * @param nonce - request identifier chosen by the caller
   * @param method - HTTP method
   * @param path - path and query
   * @returns the run, updated by `recordWork` and `recordEnd`
   */
  recordStart (nonce: string, method: string, path: string): RequestRun {
    const run: RequestRun = { nonce, method, path, startedAt: Date.now(), endedAt: undefined, end: 'running', promptTokens: 0, work: 0 }
    if (this.#runs.length < MAX_RUNS) this.#runs.push(run)
    this.#runsByNonce.set(nonce, (this.#runsByNonce.get(nonce) ?? 0) + 1)
    return run
  }

  /** Adds work to a run and to the interval of the current time. */
  recordWork (run: RequestRun, promptTokens: number, work: number): void {
    run.promptTokens += promptTokens
    run.work += work
    const at = Math.floor(Date.now() / WORK_INTERVAL_MS) * WORK_INTERVAL_MS
    const group = callerGroupOf(run.nonce)
    const key = `${at} ${group}`
    const interval = this.#workIntervals.get(key) ?? { at, group, promptTokens: 0, work: 0 }
    interval.promptTokens += promptTokens
    interval.work += work
    this.#workIntervals.set(key, interval)
  }

  /** Records how a run ended; only the first call for a run has an effect. */
  recordEnd (run: RequestRun, end: RunEnd): void {
    if (run.end !== 'running') return
    run.end = end
    run.endedAt = Date.now()
  }

  /** @returns the runs, the work per interval, and how often each nonce ran that ran more than once */
  facts (): { runs: RequestRun[], service: WorkInterval[], repeated: Record<string, number> } {
    const repeated = [...this.#runsByNonce].filter(([, count]) => count > 1)
    return { runs: this.#runs, service: [...this.#workIntervals.values()], repeated: Object.fromEntries(repeated) }
  }
}

/** Record of the requests that a stand-in ran. */
import type { Run, RunEnd } from './standinTypes.js'

/** Runs that are kept. */
const MAX_RUNS = 300_000

/** Milliseconds in one step of the service record. */
const WORK_INTERVAL_MS = 100

/** Work done for one group of callers in one step of time. */
export interface ServiceStep {
  /** Wall-clock milliseconds at the start of the step. */
  readonly at: number
  /** Part of the nonce before its first dot; callers put their workspace there. */
  readonly group: string
  promptTokens: number
  work: number
}

/**
 * Names the group of callers that a nonce belongs to.
 *
 * @param nonce - the caller's mark
 * @returns the part before the first dot
 */
export const groupOf = (nonce: string): string => nonce.split('.', 1)[0] ?? nonce

/** Keeps each run and the work done over time. */
export class RunLog {
  readonly #runs: Run[] = []
  readonly #workIntervals = new Map<string, ServiceStep>()
  readonly #runsByNonce = new Map<string, number>()

  /**
   * Records that a request begins to run.
   *
   * @param nonce - the caller's mark
   * @param method - HTTP method
   * @param path - path and query
   * @returns the run, to be changed as it goes on
   */
  recordStart (nonce: string, method: string, path: string): Run {
    const run: Run = { nonce, method, path, startedAt: Date.now(), endedAt: undefined, end: 'running', promptTokens: 0, work: 0 }
    if (this.#runs.length < MAX_RUNS) this.#runs.push(run)
    this.#runsByNonce.set(nonce, (this.#runsByNonce.get(nonce) ?? 0) + 1)
    return run
  }

  /** Records work as it is done. */
  recordWork (run: Run, promptTokens: number, work: number): void {
    run.promptTokens += promptTokens
    run.work += work
    const at = Math.floor(Date.now() / WORK_INTERVAL_MS) * WORK_INTERVAL_MS
    const group = groupOf(run.nonce)
    const key = `${at} ${group}`
    const interval = this.#workIntervals.get(key) ?? { at, group, promptTokens: 0, work: 0 }
    interval.promptTokens += promptTokens
    interval.work += work
    this.#workIntervals.set(key, interval)
  }

  /** Records how a run ended; later calls change nothing. */
  recordEnd (run: Run, end: RunEnd): void {
    if (run.end !== 'running') return
    run.end = end
    run.endedAt = Date.now()
  }

  /** @returns the runs, the work over time, and the nonces that ran more than once */
  facts (): { runs: Run[], service: ServiceStep[], repeated: Record<string, number> } {
    const repeated = [...this.#runsByNonce].filter(([, count]) => count > 1)
    return { runs: this.#runs, service: [...this.#workIntervals.values()], repeated: Object.fromEntries(repeated) }
  }
}

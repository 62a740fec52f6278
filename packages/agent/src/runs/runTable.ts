/** Table of the requests that run at the upstream. */
import { EventSource, type RequestId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { Run } from './run.js'

/** Runs by request id. */
export class RunTable {
  readonly #runs = new Map<RequestId, Run>()
  readonly #removals = new EventSource<RequestId>()
  /** Ids of requests whose run was removed. */
  readonly removals = this.#removals.stream
  #onEmpty: (() => void) | undefined

  get size (): number {
    return this.#runs.size
  }

  values (): Iterable<Run> {
    return this.#runs.values()
  }

  add (run: Run): void {
    this.#runs.set(run.handover.request, run)
  }

  /**
   * Finds a run for a message of a router.
   *
   * @param request - the request
   * @param link - link that received the message
   * @returns the run; undefined when it has ended, was abandoned or was handed over by another link
   */
  findForLink (request: RequestId, link: FleetLink): Run | undefined {
    const run = this.#runs.get(request)
    return run?.link === link && !run.abandoned ? run : undefined
  }

  /** @returns runs of this link that were not abandoned */
  runsForLink (link: FleetLink): Run[] {
    return [...this.#runs.values()].filter(run => run.link === link && !run.abandoned)
  }

  /** @returns false when the run was removed before */
  remove (run: Run): boolean {
    const { request } = run.handover
    if (this.#runs.get(request) !== run) return false
    this.#runs.delete(request)
    this.#removals.emit(request)
    if (this.#runs.size === 0) this.#onEmpty?.()
    return true
  }

  /** Resolves once no request runs. */
  whenEmpty (): Promise<void> {
    if (this.#runs.size === 0) return Promise.resolve()
    return new Promise(resolve => { this.#onEmpty = resolve })
  }
}

/** Service key of the run table. */
export const runTableKey: ServiceKey<RunTable> = serviceKey('runs')

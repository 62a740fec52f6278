/** A load report that tells the state of some time ago, as real upstreams do. */

/** Load as an upstream reports it. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  /** Share of the KV cache in use, from 0 to 1; 0 at a plain service. */
  readonly kvUse: number
}

/** Keeps a short history of the load and reports it late. */
export class LaggedLoad {
  #history: Array<{ at: number, report: LoadReport }> = []

  /** @param read - reads the present load */
  constructor (readonly read: () => LoadReport) {}

  /** Takes a sample; to be called on each change. */
  sample (): void {
    this.#history.push({ at: performance.now(), report: this.read() })
  }

  /**
   * Reports the load as it was.
   *
   * @param lagMs - age of the report in milliseconds
   * @returns the last sample of that age or older, or an idle report
   */
  report (lagMs: number): LoadReport {
    if (lagMs <= 0) {
      this.#history = []
      return this.read()
    }
    const latestAt = performance.now() - lagMs
    const index = this.#history.findLastIndex(entry => entry.at <= latestAt)
    if (index > 0) this.#history.splice(0, index)
    return index < 0 ? { running: 0, waiting: 0, kvUse: 0 } : this.#history[0]?.report ?? this.read()
  }
}

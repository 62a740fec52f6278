/** Load report with a delay: real upstreams report a state that is some hundred milliseconds old. */

/** Load report of an upstream. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  /** Share of the KV cache in use, from 0 to 1; always 0 for a plain service. */
  readonly kvUse: number
}

/** Keeps a short history of the load and reports an earlier sample. */
export class LaggedLoad {
  #history: Array<{ at: number, report: LoadReport }> = []

  /** @param read - returns the current load */
  constructor (readonly read: () => LoadReport) {}

  /** Takes a sample; must be called whenever the load changes. */
  sample (): void {
    this.#history.push({ at: performance.now(), report: this.read() })
  }

  /**
   * Returns the load as it was some time ago.
   *
   * @param lagMs - age of the report
   * @returns the newest sample that is at least this old; zero load when there is none
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

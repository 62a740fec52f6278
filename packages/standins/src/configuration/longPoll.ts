/** Waiting readers of a numbered document, as long poll needs them. */

/** Holds readers until the document changes or their time is up. */
export class LongPoll {
  readonly #waiting = new Set<() => void>()

  /** Readers that wait now. */
  get size (): number {
    return this.#waiting.size
  }

  /**
   * Waits for a change.
   *
   * @param ready - whether there is something to tell
   * @param wait - longest wait in milliseconds
   */
  async until (ready: () => boolean, wait: number): Promise<void> {
    const end = performance.now() + wait
    while (!ready() && performance.now() < end) await this.#change(end - performance.now())
  }

  /** Lets every waiting reader look again. */
  wake (): void {
    for (const run of [...this.#waiting]) run()
  }

  async #change (span: number): Promise<void> {
    await new Promise<void>(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(1, span))
      this.#waiting.add(done)
    })
  }
}

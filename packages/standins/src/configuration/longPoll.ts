/** Long poll: requests that wait for a change of a document. */

/** Holds requests until the document changes or their wait is over. */
export class LongPoll {
  readonly #wakeCallbacks = new Set<() => void>()

  /** Number of waiting requests. */
  get size (): number {
    return this.#wakeCallbacks.size
  }

  /**
   * Waits until a condition holds; it is checked after each `wakeAll`.
   *
   * @param isReady - whether the request can be answered
   * @param timeoutMs - longest wait
   */
  async waitUntil (isReady: () => boolean, timeoutMs: number): Promise<void> {
    const deadline = performance.now() + timeoutMs
    while (!isReady() && performance.now() < deadline) await this.#waitForChange(deadline - performance.now())
  }

  /** Makes every waiting request check its condition again. */
  wakeAll (): void {
    for (const wakeUp of [...this.#wakeCallbacks]) wakeUp()
  }

  async #waitForChange (timeoutMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        this.#wakeCallbacks.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(1, timeoutMs))
      this.#wakeCallbacks.add(done)
    })
  }
}

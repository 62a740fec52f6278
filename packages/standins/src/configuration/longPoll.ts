/** Waiting readers of a numbered document, as long poll needs them. */

/** Holds readers until the document changes or their time is up. */
export class LongPoll {
  readonly #wakeCallbacks = new Set<() => void>()

  /** Readers that wait now. */
  get size (): number {
    return this.#wakeCallbacks.size
  }

  /**
   * Waits for a change.
   *
   * @param isReady - whether there is something to tell
   * @param timeoutMs - longest wait in milliseconds
   */
  async waitUntil (isReady: () => boolean, timeoutMs: number): Promise<void> {
    const deadline = performance.now() + timeoutMs
    while (!isReady() && performance.now() < deadline) await this.#waitForChange(deadline - performance.now())
  }

  /** Lets every waiting reader look again. */
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

/** Identifies crashes of the upstream, so that all requests that one crash interrupted are reported with the same crash id. */
import type { Incarnation, Millis } from '@fuchsiaworks/kernel'
import type { Crash } from '@fuchsiaworks/wire'

/** Interrupted requests less than this many milliseconds after the previous one belong to the same crash. */
const SAME_CRASH_WINDOW_MS = 1_000

/** Crashes of one upstream that this process observed. */
export class CrashTracker {
  #crashCount = 0
  #lastInterruptedAt = Number.NEGATIVE_INFINITY

  /** @param incarnation - incarnation of this process; makes crash ids unique across restarts */
  constructor (readonly incarnation: Incarnation) {}

  /**
   * Records a request that a crash of the upstream interrupted.
   *
   * @param running - requests that ran when this one was interrupted, including itself
   * @param now - monotonic milliseconds
   * @returns the crash; `alone` is true when this was the only request that it interrupted
   */
  record (running: number, now: Millis): Crash {
    const isNewCrash = now - this.#lastInterruptedAt >= SAME_CRASH_WINDOW_MS
    if (isNewCrash) this.#crashCount += 1
    this.#lastInterruptedAt = now
    return { id: `${this.incarnation}.${this.#crashCount}`, alone: isNewCrash && running === 1 }
  }
}

/** Names the ends of the upstream, so that all requests that an end cut off are told under one name. */
import type { Incarnation, Millis } from '@fuchsiaworks/kernel'
import type { Crash } from '@fuchsiaworks/wire'

/** Milliseconds within which cut-off requests count to the same end. */
const SAME_CRASH_WINDOW_MS = 1_000

/** Ends of one upstream as this process saw them. */
export class CrashTracker {
  #count = 0
  #lastAt = Number.NEGATIVE_INFINITY

  /** @param incarnation - life of this process */
  constructor (readonly incarnation: Incarnation) {}

  /**
   * Takes a request that the end of the upstream cut off.
   *
   * @param running - requests that ran when this one was cut off, itself included
   * @param now - monotonic milliseconds
   * @returns the end
   */
  record (running: number, now: Millis): Crash {
    const isNewCrash = now - this.#lastAt >= SAME_CRASH_WINDOW_MS
    if (isNewCrash) this.#count += 1
    this.#lastAt = now
    return { id: `${this.incarnation}.${this.#count}`, alone: isNewCrash && running === 1 }
  }
}

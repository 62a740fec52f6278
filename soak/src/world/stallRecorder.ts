/** Records stalls of the soak's own process: while they last, its callers, upstreams and links see and send nothing, so that all they report is late. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'

const CHECK_INTERVAL_MS: Millis = 50

/** Lateness of a check from which it counts as a stall. */
const MIN_STALL_MS: Millis = 100

/** One stall, in milliseconds of the clock that observations use. */
export interface Stall {
  readonly from: Millis
  readonly to: Millis
}

/** Records stalls until closed. */
export class StallRecorder {
  readonly stalls: Stall[] = []
  readonly #timer: Timer

  /** @param clock - source of time */
  constructor (clock: Clock) {
    let dueAt = clock.now() + CHECK_INTERVAL_MS
    this.#timer = clock.every(CHECK_INTERVAL_MS, () => {
      const now = clock.now()
      if (now - dueAt >= MIN_STALL_MS) this.stalls.push({ from: dueAt, to: now })
      dueAt = now + CHECK_INTERVAL_MS
    })
  }

  /** @returns the stalls that overlap a span of time */
  during (from: Millis, to: Millis): Stall[] {
    return this.stalls.filter(stall => stall.from < to && stall.to > from)
  }

  close (): void {
    this.#timer.close()
  }
}

/** Estimates the round trip and the offset between two clocks from answered pings. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Milliseconds for which a sample counts. */
const SAMPLE_TTL_MS = 60_000

/** Samples that are kept. */
const MAX_SAMPLES = 16

/** Share of a new sample in the smoothed round trip. */
const SMOOTHING_FACTOR = 1 / 8

interface Sample {
  readonly at: Millis
  readonly delay: Millis
  readonly offset: Millis
}

/** Smoothed round trip, and the offset of the sample with the least delay in the window. */
export class ClockEstimate {
  roundTrip: Millis = 0
  offset: Millis = 0
  #samples: Sample[] = []

  /**
   * Takes an answered ping.
   *
   * @param now - monotonic reading at the answer
   * @param delay - milliseconds between ping and answer
   * @param offset - peer wall clock minus own, taking the answer as half-way
   */
  addSample (now: Millis, delay: Millis, offset: Millis): void {
    this.roundTrip = this.roundTrip === 0 ? delay : this.roundTrip + SMOOTHING_FACTOR * (delay - this.roundTrip)
    const kept = this.#samples.filter(sample => now - sample.at < SAMPLE_TTL_MS).slice(1 - MAX_SAMPLES)
    this.#samples = [...kept, { at: now, delay, offset }]
    this.offset = this.#samples.reduce((best, sample) => sample.delay < best.delay ? sample : best).offset
  }

  /**
   * Takes what the peer has measured.
   *
   * @param roundTrip - smoothed round trip in milliseconds
   * @param offset - peer wall clock minus own
   */
  adoptPeerEstimate (roundTrip: Millis, offset: Millis): void {
    this.roundTrip = roundTrip
    this.offset = offset
  }
}

/** Estimates the round-trip time and the clock offset to a peer from ping/pong exchanges, similar to NTP. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Age in milliseconds at which a sample is discarded. */
const SAMPLE_TTL_MS = 60_000

/** Maximum number of samples kept. */
const MAX_SAMPLES = 16

/** Weight of a new sample in the smoothed round-trip time (exponentially weighted moving average). */
const SMOOTHING_FACTOR = 1 / 8

interface Sample {
  readonly at: Millis
  readonly delay: Millis
  readonly offset: Millis
}

/** Smoothed round-trip time, and the clock offset of the recent sample with the shortest round trip. */
export class ClockEstimate {
  roundTrip: Millis = 0
  offset: Millis = 0
  #samples: Sample[] = []

  /**
   * Adds the sample of one ping/pong exchange.
   *
   * @param now - monotonic time at which the pong was received
   * @param delay - milliseconds between ping and pong
   * @param offset - peer wall clock minus own, assuming equal delays in both directions
   */
  addSample (now: Millis, delay: Millis, offset: Millis): void {
    this.roundTrip = this.roundTrip === 0 ? delay : this.roundTrip + SMOOTHING_FACTOR * (delay - this.roundTrip)
    const kept = this.#samples.filter(sample => now - sample.at < SAMPLE_TTL_MS).slice(1 - MAX_SAMPLES)
    this.#samples = [...kept, { at: now, delay, offset }]
    this.offset = this.#samples.reduce((best, sample) => sample.delay < best.delay ? sample : best).offset
  }

  /**
   * Adopts the estimate of the peer. The listening end sends no pings and measures nothing itself.
   *
   * @param roundTrip - smoothed round-trip time in milliseconds
   * @param offset - peer wall clock minus own
   */
  adoptPeerEstimate (roundTrip: Millis, offset: Millis): void {
    this.roundTrip = roundTrip
    this.offset = offset
  }
}

/** Sliding window of latency samples measured under one concurrency limit. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Maximum number of samples of each kind; further ones overwrite earlier ones. */
const WINDOW_CAPACITY = 256

/** Latency that a sample measures. */
export type SampleKind = 'first-byte' | 'token-gap'

export const SAMPLE_KINDS: readonly SampleKind[] = ['first-byte', 'token-gap']

/**
 * Computes a quantile by the nearest-rank method.
 *
 * @param samples - in any order
 * @param share - share of the samples that lie at or below the result
 * @returns the quantile, 0 without samples
 */
export const quantile = (samples: readonly number[], share: number): number => {
  const sorted = [...samples].sort((a, b) => a - b)
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0
}

/** Latency samples in milliseconds, all measured under one limit. */
export class LatencyWindow {
  readonly #samples: Readonly<Record<SampleKind, Millis[]>> = { 'first-byte': [], 'token-gap': [] }
  #nextSlot = 0
  #firstSampleAt: Millis | undefined

  /** Number of samples of the kind with more samples. */
  get size (): number {
    return Math.max(...SAMPLE_KINDS.map(kind => this.#samples[kind].length))
  }

  /** @returns milliseconds since the first sample, 0 when the window is empty */
  elapsedMs (now: Millis): Millis {
    return this.#firstSampleAt === undefined ? 0 : now - this.#firstSampleAt
  }

  add (kind: SampleKind, value: Millis, now: Millis): void {
    this.#firstSampleAt ??= now
    const samples = this.#samples[kind]
    if (samples.length < WINDOW_CAPACITY) samples.push(value)
    else samples[this.#nextSlot++ % WINDOW_CAPACITY] = value
  }

  /** @returns the quantile of one kind in milliseconds, 0 without samples */
  quantile (kind: SampleKind, share: number): Millis {
    return quantile(this.#samples[kind], share)
  }

  clear (): void {
    this.#firstSampleAt = undefined
    for (const kind of SAMPLE_KINDS) this.#samples[kind].length = 0
  }
}

/** Latency samples at one limit, each as a share of its target. */

/** Samples kept for each kind; older ones are overwritten. */
const WINDOW_CAPACITY = 256

/** Share of the samples that must lie within the target. */
const PERCENTILE = 0.95

const percentile = (samples: readonly number[], share: number): number => {
  if (samples.length === 0) return 0
  const sorted = [...samples].sort((a, b) => a - b)
  const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)
  return sorted[Math.max(0, index)] ?? 0
}

/** What a sample measured. */
export type SampleKind = 'first-byte' | 'token-gap'

/** Samples taken since the limit last changed. A value of 1 is exactly on target. */
export class LatencyWindow {
  readonly #samples = { 'first-byte': [] as number[], 'token-gap': [] as number[] }
  #next = 0

  /** Number of samples of the kind that has more. */
  get size (): number {
    return Math.max(this.#samples['first-byte'].length, this.#samples['token-gap'].length)
  }

  /**
   * Adds a sample.
   *
   * @param kind - what was measured
   * @param ratio - measured value divided by its target
   */
  add (kind: SampleKind, ratio: number): void {
    const samples = this.#samples[kind]
    if (samples.length < WINDOW_CAPACITY) samples.push(ratio)
    else samples[this.#next++ % WINDOW_CAPACITY] = ratio
  }

  /** @returns the 95th percentile of the worse kind; above 1 the target is missed */
  pressure (): number {
    return Math.max(percentile(this.#samples['first-byte'], PERCENTILE), percentile(this.#samples['token-gap'], PERCENTILE))
  }

  /**
   * Reads the typical sample.
   *
   * @param kind - what was measured
   * @returns the median, 0 without samples
   */
  median (kind: SampleKind): number {
    return percentile(this.#samples[kind], 0.5)
  }

  clear (): void {
    this.#samples['first-byte'].length = 0
    this.#samples['token-gap'].length = 0
  }
}

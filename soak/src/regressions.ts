/** Seeds that have once failed, with the cause. */
import type { SoakOptions } from './soak.js'

/** A seed that failed. */
export interface Regression extends SoakOptions {
  readonly cause: string
}

/** Every seed that has ever failed. */
export const REGRESSIONS: readonly Regression[] = []

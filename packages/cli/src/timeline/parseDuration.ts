/** Parses durations of the command line, such as `30s`. */
import type { Millis } from '@fuchsiaworks/kernel'
import { UsageError } from '../io/commandIo.js'

/** Milliseconds per unit. */
const UNIT_MS: Readonly<Record<string, Millis>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/

/**
 * Parses a duration.
 *
 * @param text - a number with its unit, such as `30s`
 * @throws UsageError if the text is not a duration
 */
export const parseDuration = (text: string): Millis => {
  const [, amount, unit] = DURATION_PATTERN.exec(text) ?? []
  if (amount === undefined || unit === undefined) throw new UsageError(`"${text}" is not a duration: expected a number with the unit ms, s, m or h, such as 30s`)
  return Number(amount) * (UNIT_MS[unit] ?? 1)
}

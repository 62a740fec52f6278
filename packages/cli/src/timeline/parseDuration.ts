/** Reads spans of time as operators write them. */
import type { Millis } from '@fuchsiaworks/kernel'
import { UsageError } from '../io/commandIo.js'

/** Milliseconds of each unit. */
const UNIT_MS: Readonly<Record<string, Millis>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/

/**
 * Reads a span.
 *
 * @param text - a number with its unit, as `30s`
 * @returns milliseconds
 * @throws UsageError when it is no span
 */
export const parseDuration = (text: string): Millis => {
  const [, amount, unit] = DURATION_PATTERN.exec(text) ?? []
  if (amount === undefined || unit === undefined) throw new UsageError(`"${text}" is no span of time; write a number with ms, s, m or h, as 30s`)
  return Number(amount) * (UNIT_MS[unit] ?? 1)
}

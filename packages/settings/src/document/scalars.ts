/** Schemas of the scalar values in settings. Numbers carry the name of their unit. */
import type { Id } from '@fuchsiaworks/kernel'
import * as z from 'zod'

/** Ids are restricted to these characters so that they need no quoting in URL paths and logs. */
const ID_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/

const HHMM_PATTERN = /^([01][0-9]|2[0-3]):[0-5][0-9]$/

const SHA256_PATTERN = /^[0-9a-f]{64}$/

/** Largest TCP port. */
const MAX_PORT = 65_535

/**
 * Schema of an id; its output has the branded type.
 */
export const idSchema = <T extends Id<string>>(): z.ZodType<T, string> => {
  const error = 'expected an id: up to 63 lower-case letters, digits, dots, underscores and hyphens, the first a letter or digit'
  return z.string({ error }).regex(ID_PATTERN, { error }) as unknown as z.ZodType<T, string>
}

/**
 * Schema of a whole number with a unit.
 *
 * @param unit - the unit in the plural, such as `milliseconds`
 * @param low - smallest value
 * @param high - largest value
 */
export const wholeNumber = (unit: string, low: number, high: number): z.ZodInt => {
  const error = `expected a whole number of ${unit} from ${low} to ${high}`
  return z.int({ error }).min(low, { error }).max(high, { error }).meta({ unit })
}

/**
 * Schema of a number with a unit. Fractions are allowed.
 *
 * @param unit - the unit in the plural
 * @param low - smallest value
 * @param high - largest value
 */
export const decimalNumber = (unit: string, low: number, high: number): z.ZodNumber => {
  const error = `expected a number of ${unit} from ${low} to ${high}`
  return z.number({ error }).min(low, { error }).max(high, { error }).meta({ unit })
}

/**
 * Schema of a duration.
 *
 * @param low - smallest value in milliseconds
 * @param high - largest value in milliseconds
 */
export const milliseconds = (low: number, high: number): z.ZodInt => wholeNumber('milliseconds', low, high)

/**
 * Schema of a size.
 *
 * @param low - smallest value in bytes
 * @param high - largest value in bytes
 */
export const bytes = (low: number, high: number): z.ZodInt => wholeNumber('bytes', low, high)

/** Time of day as `HH:MM`. */
export const timeOfDay = z.string({ error: 'expected a time of day as "HH:MM"' })
  .regex(HHMM_PATTERN, { error: 'expected a time of day as "HH:MM" from "00:00" to "23:59"' })

/** SHA-256 digest of a secret in lower-case hexadecimal. */
export const sha256Hex = z.string({ error: 'expected a SHA-256 digest' })
  .regex(SHA256_PATTERN, { error: 'expected a SHA-256 digest in 64 lower-case hexadecimal digits' })

/** TCP port; 0 lets the operating system choose one. */
export const port = z.int({ error: `expected a port from 0 to ${MAX_PORT}` })
  .min(0, { error: `expected a port from 0 to ${MAX_PORT}` })
  .max(MAX_PORT, { error: `expected a port from 0 to ${MAX_PORT}` })

/** Non-empty string. */
export const text = z.string({ error: 'expected text' }).min(1, { error: 'expected text that is not empty' })

/** URL of an HTTP or HTTPS service. */
export const httpUrl = z.url({ protocol: /^https?$/, error: 'expected an http or https address' })

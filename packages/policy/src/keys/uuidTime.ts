/** Parses the timestamp of a version 7 UUID (RFC 9562). */
import type { Millis } from '@fuchsiaworks/kernel'

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Hexadecimal digits of the timestamp. */
const TIME_DIGITS = 12

/**
 * Parses the creation time of a key.
 *
 * @param key - an idempotency key
 * @returns wall-clock milliseconds; undefined when the key is not a version 7 UUID
 */
export const uuidTime = (key: string): Millis | undefined =>
  UUID_V7.test(key) ? parseInt(key.replaceAll('-', '').slice(0, TIME_DIGITS), 16) : undefined

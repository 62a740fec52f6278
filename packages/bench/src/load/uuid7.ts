/** Generates UUIDs of version 7, which begin with a timestamp; agents read the age of an Idempotency-Key from it. */
import { randomBytes } from 'node:crypto'

/** @returns a new UUIDv7 */
export const newUuid7 = (): string => {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(Date.now(), 0, 6)
  bytes[6] = 0x70 | ((bytes[6] ?? 0) & 0x0f)
  bytes[8] = 0x80 | ((bytes[8] ?? 0) & 0x3f)
  const hex = bytes.toString('hex')
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-')
}

/** Checks the key of the administration API. */
import { createHash, timingSafeEqual } from 'node:crypto'

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

/**
 * Creates a check for the key. It compares digests in constant time, so its duration reveals nothing about the key.
 *
 * @param key - the expected key
 * @returns a function that checks whether the value of an Authorization header carries the key
 */
export const createKeyCheck = (key: string): (authorization: string | undefined) => boolean => {
  const expected = digest(`Bearer ${key}`)
  return authorization => authorization !== undefined && timingSafeEqual(digest(authorization), expected)
}

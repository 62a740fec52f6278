/** Checks the key of the administration API. */
import { createHash, timingSafeEqual } from 'node:crypto'

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

/**
 * Prepares the check of one key. The comparison takes the same time for every wrong key of a length.
 *
 * @param key - the right key
 * @returns a function that tells whether an Authorization header carries it
 */
export const createKeyCheck = (key: string): (authorization: string | undefined) => boolean => {
  const expected = digest(`Bearer ${key}`)
  return authorization => authorization !== undefined && timingSafeEqual(digest(authorization), expected)
}

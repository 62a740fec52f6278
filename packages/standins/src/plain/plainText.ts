/** The bytes that a plain service must say, so that a caller can check its answer. */

/**
 * Makes a body of any size that only this nonce has.
 *
 * @param nonce - the caller's mark
 * @param bytes - size
 * @returns the repeated mark, cut to size
 */
export const plainBytes = (nonce: string, bytes: number): Buffer => Buffer.alloc(bytes, `${nonce};`)

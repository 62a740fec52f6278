/** Deterministic bodies of a plain service, so that a caller can check a response byte for byte. */

/**
 * Builds a body of the given size that differs for each nonce.
 *
 * @param nonce - request identifier chosen by the caller
 * @param bytes - size of the body
 * @returns the nonce, repeated and cut to size
 */
export const bodyFromNonce = (nonce: string, bytes: number): Buffer => Buffer.alloc(bytes, `${nonce};`)

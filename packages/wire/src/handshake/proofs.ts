/** Proofs that an end holds the link key: HMAC-SHA256 over all that was said, with a label for who proves what. */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { pack } from '../codec/packer.js'

/** Step that a proof belongs to. A proof of one step is of no use for another, so it can't be sent back. */
export type ProofLabel = 'dialer' | 'listener' | 'confirm'

/** First word of what is proved; changes with the handshake's version. */
const PROOF_CONTEXT = 'fuchsiaworks link 1'

/**
 * Computes a proof.
 *
 * @param linkKey - shared secret
 * @param label - step that the proof belongs to
 * @param transcript - plain values that both ends have seen
 * @returns 32 bytes
 */
export const computeProof = (linkKey: string, label: ProofLabel, transcript: readonly unknown[]): Uint8Array =>
  createHmac('sha256', linkKey).update(pack([PROOF_CONTEXT, label, ...transcript])).digest()

/**
 * Checks a proof in constant time.
 *
 * @param expected - the proof as computed here
 * @param given - the proof of the peer
 * @returns whether they are the same
 */
export const proofsEqual = (expected: Uint8Array, given: Uint8Array): boolean =>
  expected.byteLength === given.byteLength && timingSafeEqual(expected, given)

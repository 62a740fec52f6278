/** Proofs of possession of the link key: HMAC-SHA256 over the handshake transcript and a label of the step. */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { pack } from '../codec/packer.js'

/** Handshake step of a proof. A proof is valid for one step only, so it cannot be reflected to its sender. */
export type ProofLabel = 'dialer' | 'listener' | 'confirm'

/** Domain separation string of the HMAC input; changes with the version of the handshake. */
const PROOF_CONTEXT = 'fuchsiaworks link 1'

/**
 * Computes a proof.
 *
 * @param linkKey - shared secret
 * @param label - handshake step of the proof
 * @param transcript - plain values exchanged so far
 * @returns 32 bytes
 */
export const computeProof = (linkKey: string, label: ProofLabel, transcript: readonly unknown[]): Uint8Array =>
  createHmac('sha256', linkKey).update(pack([PROOF_CONTEXT, label, ...transcript])).digest()

/**
 * Compares two proofs in constant time.
 *
 * @param expected - locally computed proof
 * @param given - proof received from the peer
 */
export const proofsEqual = (expected: Uint8Array, given: Uint8Array): boolean =>
  expected.byteLength === given.byteLength && timingSafeEqual(expected, given)

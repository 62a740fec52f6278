/**
 * Mutual authentication of two processes by challenge and response. Both ends are state machines without sockets: each
 * takes a message of the peer and returns the reply.
 */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import {
  answerField, challengeFields, confirmFields, decodeHandshakeMessage, encodeHandshakeMessage, helloFields, NONCE_BYTES,
  offerField, PROTOCOL_VERSION, proofFields, welcomeFields
} from './handshakeCodec.js'
import type {
  Answer, DialerResult, HandshakeContext, HandshakeStep, ListenerResult, Offer
} from './handshakeTypes.js'
import { computeProof, proofsEqual } from './proofs.js'

/** The peer failed to prove that it holds the link key, or the process connected to itself. */
export class HandshakeError extends FuchsiaError {
  /** @param reason - reason of the failure, for the log only */
  constructor (reason: string) {
    super('handshake-failed', reason)
  }
}

/** Dialing end of the handshake. */
export class DialerHandshake {
  readonly #nonce: Uint8Array
  #peerNonce: Uint8Array | undefined

  /**
   * @param context - own identity and key
   * @param offer - the requested session
   * @param receivedSeq - returns the last sequence number received in that session
   */
  constructor (readonly context: HandshakeContext, readonly offer: Offer, readonly receivedSeq: () => number) {
    this.#nonce = context.randomBytes(NONCE_BYTES)
  }

  /** @returns the first message of the handshake */
  start (): Uint8Array {
    return encodeHandshakeMessage(helloFields, { version: PROTOCOL_VERSION, nonce: this.#nonce })
  }

  /**
   * Handles a message of the listening end.
   *
   * @param data - encoded message
   * @returns the reply, and with the last message the result
   * @throws HandshakeError when authentication fails, MalformedFrameError when the message is malformed
   */
  receive (data: Uint8Array): HandshakeStep<DialerResult> {
    return this.#peerNonce === undefined ? this.#answerChallenge(data) : this.#checkWelcome(data, this.#peerNonce)
  }

  #answerChallenge (data: Uint8Array): HandshakeStep<DialerResult> {
    this.#peerNonce = Uint8Array.from(decodeHandshakeMessage(challengeFields, data).nonce)
    const proof = computeProof(this.context.linkKey, 'dialer', this.#transcript(this.#peerNonce))
    return { reply: encodeHandshakeMessage(proofFields, { offer: this.offer, proof }) }
  }

  #checkWelcome (data: Uint8Array, peerNonce: Uint8Array): HandshakeStep<DialerResult> {
    const { answer, proof } = decodeHandshakeMessage(welcomeFields, data)
    const transcript = [...this.#transcript(peerNonce), answerField.write(answer)]
    if (!proofsEqual(computeProof(this.context.linkKey, 'listener', transcript), proof)) throw new HandshakeError('listener proof is invalid: link keys or TLS connections differ')
    if (answer.identity.incarnation === this.context.identity.incarnation) throw new HandshakeError('process connected to itself')
    const received = this.receivedSeq()
    const confirm = { received, proof: computeProof(this.context.linkKey, 'confirm', [...transcript, received]) }
    return { reply: encodeHandshakeMessage(confirmFields, confirm), result: { answer } }
  }

  #transcript (peerNonce: Uint8Array): unknown[] {
    return [this.#nonce, peerNonce, this.context.binding, offerField.write(this.offer)]
  }
}

/** Listening end of the handshake. It reveals its identity only to a peer that has proven that it holds the link key. */
export class ListenerHandshake {
  readonly #nonce: Uint8Array
  #peerNonce: Uint8Array | undefined
  #offer: Offer | undefined
  #answer: Answer | undefined

  /**
   * @param context - own identity and key
   * @param answerOffer - decides on an authenticated offer
   */
  constructor (readonly context: HandshakeContext, readonly answerOffer: (offer: Offer) => Omit<Answer, 'identity'>) {
    this.#nonce = context.randomBytes(NONCE_BYTES)
  }

  /**
   * Handles a message of the dialing end.
   *
   * @param data - encoded message
   * @returns the reply, and with the last message the result
   * @throws HandshakeError when authentication fails, MalformedFrameError when the message is malformed
   */
  receive (data: Uint8Array): HandshakeStep<ListenerResult> {
    if (this.#peerNonce === undefined) return this.#challenge(data)
    if (this.#offer === undefined || this.#answer === undefined) return this.#checkProof(data, this.#peerNonce)
    return this.#checkConfirm(data, this.#peerNonce, this.#offer, this.#answer)
  }

  #challenge (data: Uint8Array): HandshakeStep<ListenerResult> {
    this.#peerNonce = Uint8Array.from(decodeHandshakeMessage(helloFields, data).nonce)
    return { reply: encodeHandshakeMessage(challengeFields, { nonce: this.#nonce }) }
  }

  #checkProof (data: Uint8Array, peerNonce: Uint8Array): HandshakeStep<ListenerResult> {
    const { offer, proof } = decodeHandshakeMessage(proofFields, data)
    const transcript = this.#transcript(peerNonce, offer)
    if (!proofsEqual(computeProof(this.context.linkKey, 'dialer', transcript), proof)) throw new HandshakeError('dialer proof is invalid: link keys or TLS connections differ')
    if (offer.identity.incarnation === this.context.identity.incarnation) throw new HandshakeError('process connected to itself')
    this.#offer = offer
    this.#answer = { identity: this.context.identity, ...this.answerOffer(offer) }
    const welcome = computeProof(this.context.linkKey, 'listener', [...transcript, answerField.write(this.#answer)])
    return { reply: encodeHandshakeMessage(welcomeFields, { answer: this.#answer, proof: welcome }) }
  }

  #checkConfirm (data: Uint8Array, peerNonce: Uint8Array, offer: Offer, answer: Answer): HandshakeStep<ListenerResult> {
    const { received, proof } = decodeHandshakeMessage(confirmFields, data)
    const transcript = [...this.#transcript(peerNonce, offer), answerField.write(answer), received]
    if (!proofsEqual(computeProof(this.context.linkKey, 'confirm', transcript), proof)) throw new HandshakeError('proof of the confirm message is invalid')
    return { result: { offer, received } }
  }

  #transcript (peerNonce: Uint8Array, offer: Offer): unknown[] {
    return [peerNonce, this.#nonce, this.context.binding, offerField.write(offer)]
  }
}

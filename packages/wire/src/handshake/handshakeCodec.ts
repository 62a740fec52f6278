/** Messages of the handshake to bytes and back. Each is one array of plain values. */
import { finiteNumber, bytes, type Field, type FieldFinding, type Fields, oneOf, readFields, record, nonNegativeInteger, writeFields } from '../codec/fields.js'
import { MalformedFrameError, pack, unpackSequence } from '../codec/packer.js'
import type { Identity } from '../session/sessionTypes.js'
import type { Answer, Offer } from './handshakeTypes.js'

/** Version of frames and handshake; ends of different versions don't talk. */
export const PROTOCOL_VERSION = 1

/** Bytes of a nonce. */
export const NONCE_BYTES = 32

/** Characters that a name in an identity may have. */
const MAX_NAME_LENGTH = 256

const nameField = <T extends string>(): Field<T> => ({
  write: value => value,
  read: (value, findings) => {
    if (typeof value !== 'string' || value.length > MAX_NAME_LENGTH) findings.push({ path: '', message: 'is not a name' })
    return value as T
  }
})

const nonceField: Field<Uint8Array> = {
  write: value => value,
  read: (value, findings) => {
    const read = bytes.read(value, findings)
    if (read.byteLength !== NONCE_BYTES) findings.push({ path: '', message: `is not ${NONCE_BYTES} bytes long` })
    return read
  }
}

const versionField: Field<number> = {
  write: () => PROTOCOL_VERSION,
  read: (value, findings) => {
    if (value !== PROTOCOL_VERSION) findings.push({ path: '', message: `is not ${PROTOCOL_VERSION}` })
    return PROTOCOL_VERSION
  }
}

const identityField = record<Identity>({ host: nameField(), incarnation: nameField(), role: oneOf('router', 'agent'), zone: nameField() })

/** First message, of the dialing end. */
export interface Hello {
  readonly version: number
  readonly nonce: Uint8Array
}

/** Second message, of the listening end, which tells nothing of itself. */
export interface Challenge {
  readonly nonce: Uint8Array
}

/** Third message: who dials, and the proof of it. */
export interface Proof {
  readonly offer: Offer
  readonly proof: Uint8Array
}

/** Fourth message: who listens, what becomes of the session, and the proof of it. */
export interface Welcome {
  readonly answer: Answer
  readonly proof: Uint8Array
}

/** Fifth message: the dialing end has seen the answer. */
export interface Confirm {
  readonly received: number
  readonly proof: Uint8Array
}

/** Field of an offer, as it is sent and proved. */
export const offerField = record<Offer>({ identity: identityField, started: finiteNumber, dialer: nameField(), session: nonNegativeInteger, attempt: nonNegativeInteger })

/** Field of an answer, as it is sent and proved. */
export const answerField = record<Answer>({
  identity: identityField, outcome: oneOf('new', 'resumed', 'gone', 'superseded'), received: nonNegativeInteger
})

/** Fields of the handshake's messages, in their order. */
export const helloFields: Fields<Hello> = { version: versionField, nonce: nonceField }
export const challengeFields: Fields<Challenge> = { nonce: nonceField }
export const proofFields: Fields<Proof> = { offer: offerField, proof: bytes }
export const welcomeFields: Fields<Welcome> = { answer: answerField, proof: bytes }
export const confirmFields: Fields<Confirm> = { received: nonNegativeInteger, proof: bytes }

/**
 * Encodes a message of the handshake.
 *
 * @param fields - fields of the message
 * @param value - the message
 * @returns its bytes
 */
export const encodeHandshakeMessage = <T>(fields: Fields<T>, value: T): Uint8Array => {
  const target: unknown[] = []
  writeFields(fields, value, target)
  return pack(target)
}

/**
 * Decodes and checks a message of the handshake.
 *
 * @param fields - fields of the expected message
 * @param data - bytes of the peer
 * @returns the message
 * @throws MalformedFrameError when it is another or malformed
 */
export const decodeHandshakeMessage = <T>(fields: Fields<T>, data: Uint8Array): T => {
  const [values, ...rest] = unpackSequence(data)
  if (!Array.isArray(values) || rest.length > 0) throw new MalformedFrameError(['not a handshake message'])
  const message: Partial<T> = {}
  const findings: FieldFinding[] = []
  readFields(fields, values, 0, message, findings)
  if (findings.length > 0) throw new MalformedFrameError(findings.map(({ path, message }) => `${path} ${message}`))
  return message as T
}

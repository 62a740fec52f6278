/** Encodes and decodes handshake messages. Each is one array of plain values. */
import {
  bytes, type Field, type FieldFinding, type Fields, finiteNumber, nonNegativeInteger, oneOf, readFields, record,
  writeFields
} from '../codec/fields.js'
import { MalformedFrameError, pack, unpackSequence } from '../codec/packer.js'
import type { Identity } from '../session/sessionTypes.js'
import type { Answer, Offer } from './handshakeTypes.js'

/** Version of the frame and handshake formats; a peer with a different version is rejected. */
export const PROTOCOL_VERSION = 1

/** Size of a nonce in bytes. */
export const NONCE_BYTES = 32

/** Maximum length of a name in an identity, in characters. */
const MAX_NAME_LENGTH = 256

const nameField = <T extends string>(): Field<T> => ({
  write: value => value,
  read: (value, findings) => {
    if (typeof value !== 'string' || value.length > MAX_NAME_LENGTH) findings.push({ path: '', message: 'is not a string, or is too long' })
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

/** First message, from the dialing end. */
export interface Hello {
  readonly version: number
  readonly nonce: Uint8Array
}

/** Second message, from the listening end. It reveals nothing about the sender. */
export interface Challenge {
  readonly nonce: Uint8Array
}

/** Third message, from the dialing end: its identity and session offer, with proof. */
export interface Proof {
  readonly offer: Offer
  readonly proof: Uint8Array
}

/** Fourth message, from the listening end: its identity and its decision on the offer, with proof. */
export interface Welcome {
  readonly answer: Answer
  readonly proof: Uint8Array
}

/** Fifth message, from the dialing end: confirms the answer and reports its received sequence number, with proof. */
export interface Confirm {
  readonly received: number
  readonly proof: Uint8Array
}

/** Offer as sent on the wire and as covered by the proofs. */
export const offerField = record<Offer>({ identity: identityField, started: finiteNumber, dialer: nameField(), session: nonNegativeInteger, attempt: nonNegativeInteger })

/** Answer as sent on the wire and as covered by the proofs. */
export const answerField = record<Answer>({
  identity: identityField, outcome: oneOf('new', 'resumed', 'gone', 'superseded'), received: nonNegativeInteger
})

/** Fields of the handshake messages, in the order in which they are exchanged. */
export const helloFields: Fields<Hello> = { version: versionField, nonce: nonceField }
export const challengeFields: Fields<Challenge> = { nonce: nonceField }
export const proofFields: Fields<Proof> = { offer: offerField, proof: bytes }
export const welcomeFields: Fields<Welcome> = { answer: answerField, proof: bytes }
export const confirmFields: Fields<Confirm> = { received: nonNegativeInteger, proof: bytes }

/**
 * Encodes a handshake message.
 *
 * @param fields - fields of the message
 * @param value - the message
 */
export const encodeHandshakeMessage = <T>(fields: Fields<T>, value: T): Uint8Array => {
  const target: unknown[] = []
  writeFields(fields, value, target)
  return pack(target)
}

/**
 * Decodes and validates a handshake message.
 *
 * @param fields - fields of the expected message
 * @param data - bytes received from the peer
 * @throws MalformedFrameError when the bytes are malformed or are a different message
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

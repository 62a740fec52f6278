/** Encodes messages as plain arrays, and decodes them with validation of every field. */
import type { Message } from '../protocol/protocolTypes.js'
import { type FieldFinding, type Fields, readFields, writeFields } from './fields.js'
import { messageFields, type MessageKind } from './messageFields.js'
import { MalformedFrameError, pack } from './packer.js'

interface KindEntry {
  readonly kind: MessageKind
  readonly fields: Fields<Record<string, unknown>>
}

const kinds: readonly KindEntry[] = Object.entries(messageFields)
  .map(([kind, fields]) => ({ kind: kind as MessageKind, fields: fields as unknown as KindEntry['fields'] }))

const kindNumbers = new Map(kinds.map(({ kind }, index) => [kind, index]))

/**
 * Encodes a message.
 *
 * @param message - the message to send
 * @returns its bytes; they share no memory with the message
 */
export const encodeMessage = (message: Message): Uint8Array => {
  const number = kindNumbers.get(message.kind) ?? kinds.length
  const target: unknown[] = [number]
  const entry = kinds[number]
  if (entry !== undefined) writeFields(entry.fields, message as unknown as Record<string, unknown>, target)
  return pack(target)
}

/**
 * Validates a decoded value as a message.
 *
 * @param value - plain value received from a peer
 * @throws MalformedFrameError when the kind is unknown, or with every field that has the wrong type
 */
export const readMessage = (value: unknown): Message => {
  const values: readonly unknown[] = Array.isArray(value) ? value : []
  const entry = kinds[Number(values[0])]
  if (entry === undefined || typeof values[0] !== 'number') throw new MalformedFrameError(['unknown message kind'])
  const message: Record<string, unknown> = { kind: entry.kind }
  const findings: FieldFinding[] = []
  readFields(entry.fields, values, 1, message, findings)
  if (findings.length > 0) throw new MalformedFrameError(findings.map(({ path, message }) => `${entry.kind}.${path} ${message}`))
  return message as unknown as Message
}

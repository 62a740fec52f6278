/** Encodes and decodes the messages between gateways and stream recorders (MessagePack). A malformed message is rejected as a whole. */
import { assertNever, FuchsiaError } from '@fuchsiaworks/kernel'
import type { StreamVersionReport } from '@fuchsiaworks/policy'
import { Packr } from 'msgpackr'
import type { GatewayMessage, RecorderAnswer } from './streamRecorderTypes.js'

/** Version of the message format; messages of other versions are rejected. */
const MESSAGE_VERSION = 1

/** Numbers of the kinds of messages. */
const KIND = { fleet: 0, records: 1, ask: 2 } as const

/** Addresses that a recorder accepts in one message, and characters of each. */
const MAX_ADDRESSES = 1024
const MAX_ADDRESS_LENGTH = 300

/** Characters of the host in an answer that are kept. */
const MAX_HOST_LENGTH = 63

const packer = new Packr({ useRecords: false })

/** A message between a gateway and a stream recorder is malformed or has an unsupported version. */
export class StreamRecorderMessageError extends FuchsiaError {
  /** @param problem - what is invalid in the message */
  constructor (problem: string) {
    super('stream-recorder-message', `invalid message between a gateway and a stream recorder: ${problem}`)
  }
}

/** Encodes a message of a gateway. */
export const encodeGatewayMessage = (message: GatewayMessage): Buffer => {
  switch (message.kind) {
    case 'fleet': return packer.pack([MESSAGE_VERSION, KIND.fleet, message.upstreams ?? null, message.longestStreamMs ?? null, message.addresses])
    case 'records': return packer.pack([MESSAGE_VERSION, KIND.records, message.reports.map(({ version, streams }) => [version, ...streams])])
    case 'ask': return packer.pack([MESSAGE_VERSION, KIND.ask, message.lookup, message.stream])
    default: return assertNever(message)
  }
}

/** Encodes an answer of a recorder. */
export const encodeRecorderAnswer = ({ lookup, version, host }: RecorderAnswer): Buffer => packer.pack([MESSAGE_VERSION, lookup, version ?? null, host])

const expectArray = (value: unknown, field: string): unknown[] => {
  if (!Array.isArray(value)) throw new StreamRecorderMessageError(`${field} is not an array`)
  return value
}

const expectNumber = (value: unknown, field: string): number => {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) throw new StreamRecorderMessageError(`${field} is not a number from 0`)
  return value
}

const optionalNumber = (value: unknown, field: string): number | undefined => value === null ? undefined : expectNumber(value, field)

const expectAddress = (value: unknown): string => {
  if (typeof value !== 'string' || value === '' || value.length > MAX_ADDRESS_LENGTH) throw new StreamRecorderMessageError('an address is not a short string')
  return value
}

const decodeReport = (entry: unknown): StreamVersionReport => {
  const [version, ...streams] = expectArray(entry, 'streams of a version')
  return { version: expectNumber(version, 'a version'), streams: streams.map(stream => expectNumber(stream, 'a stream')) }
}

const unpack = (bytes: Uint8Array): unknown[] => {
  const [version, ...fields] = expectArray(packer.unpack(bytes), 'the message')
  if (version !== MESSAGE_VERSION) throw new StreamRecorderMessageError(`unsupported version ${String(version)}`)
  return fields
}

/**
 * Decodes a message of a gateway.
 *
 * @throws StreamRecorderMessageError when it is malformed or of another version
 */
export const decodeGatewayMessage = (bytes: Uint8Array): GatewayMessage => {
  const [kind, ...fields] = unpack(bytes)
  switch (kind) {
    case KIND.fleet: {
      const addresses = expectArray(fields[2], 'addresses')
      if (addresses.length > MAX_ADDRESSES) throw new StreamRecorderMessageError('too many addresses')
      return { kind: 'fleet', upstreams: optionalNumber(fields[0], 'the count of upstreams'), longestStreamMs: optionalNumber(fields[1], 'a time'), addresses: addresses.map(expectAddress) }
    }
    case KIND.records: return { kind: 'records', reports: expectArray(fields[0], 'records').map(decodeReport) }
    case KIND.ask: return { kind: 'ask', lookup: expectNumber(fields[0], 'a lookup'), stream: expectNumber(fields[1], 'a stream') }
    default: throw new StreamRecorderMessageError(`unknown kind ${String(kind)}`)
  }
}

/**
 * Decodes an answer of a recorder.
 *
 * @throws StreamRecorderMessageError when it is malformed or of another version
 */
export const decodeRecorderAnswer = (bytes: Uint8Array): RecorderAnswer => {
  const [lookup, version, host] = unpack(bytes)
  if (typeof host !== 'string') throw new StreamRecorderMessageError('the host is not a string')
  return { lookup: expectNumber(lookup, 'a lookup'), version: optionalNumber(version, 'a version'), host: host.slice(0, MAX_HOST_LENGTH) }
}

/** Encodes and decodes frames. A frame is a header array; in a data frame, the encoded messages follow it. */
import { assertNever } from '@fuchsiaworks/kernel'
import type { Message } from '../protocol/protocolTypes.js'
import { type Field, type FieldFinding, type Fields, finiteNumber, nonNegativeInteger, oneOf, readFields } from './fields.js'
import type { AckFrame, ByeFrame, ByeReason, DataFrame, Frame, OutgoingFrame, PingFrame, PongFrame } from './frameTypes.js'
import { readMessage } from './messageCodec.js'
import { MalformedFrameError, pack, unpackSequence } from './packer.js'

type Header<F> = Fields<Omit<F, 'kind' | 'payloads'>>

/** Wire number of each frame kind. */
const FRAME_KIND_NUMBER = { data: 0, ack: 1, ping: 2, pong: 3, bye: 4 } as const

const dataHeader: Header<DataFrame<unknown>> = { ack: nonNegativeInteger, first: nonNegativeInteger }
const ackHeader: Header<AckFrame> = { ack: nonNegativeInteger }
const pingHeader: Header<PingFrame> = { ack: nonNegativeInteger, sentAt: finiteNumber, roundTrip: finiteNumber, offset: finiteNumber, next: finiteNumber }
const pongHeader: Header<PongFrame> = { ack: nonNegativeInteger, sentAt: finiteNumber, wall: finiteNumber }
const byeReason: Field<ByeReason> = oneOf('closed', 'expired', 'protocol-error', 'overflow')
const byeHeader: Header<ByeFrame> = { reason: byeReason }

/**
 * Encodes a frame.
 *
 * @param frame - the frame; its messages are encoded already
 * @returns the bytes of one WebSocket message
 */
export const encodeFrame = (frame: OutgoingFrame): Uint8Array => {
  switch (frame.kind) {
    case 'data': return Buffer.concat([pack([FRAME_KIND_NUMBER.data, frame.ack, frame.first]), ...frame.payloads])
    case 'ack': return pack([FRAME_KIND_NUMBER.ack, frame.ack])
    case 'ping': return pack([FRAME_KIND_NUMBER.ping, frame.ack, frame.sentAt, frame.roundTrip, frame.offset, frame.next])
    case 'pong': return pack([FRAME_KIND_NUMBER.pong, frame.ack, frame.sentAt, frame.wall])
    case 'bye': return pack([FRAME_KIND_NUMBER.bye, frame.reason])
    default: return assertNever(frame)
  }
}

const readHeader = <T>(fields: Fields<T>, values: readonly unknown[]): T => {
  const header: Partial<T> = {}
  const findings: FieldFinding[] = []
  readFields(fields, values, 1, header, findings)
  if (findings.length > 0) throw new MalformedFrameError(findings.map(({ path, message }) => `${path} ${message}`))
  return header as T
}

const readFrame = (header: readonly unknown[], rest: readonly unknown[]): Frame<Message> => {
  if (rest.length > 0 && header[0] !== FRAME_KIND_NUMBER.data) throw new MalformedFrameError(['only a data frame may carry messages'])
  switch (header[0]) {
    case FRAME_KIND_NUMBER.data: return { kind: 'data', ...readHeader(dataHeader, header), payloads: rest.map(readMessage) }
    case FRAME_KIND_NUMBER.ack: return { kind: 'ack', ...readHeader(ackHeader, header) }
    case FRAME_KIND_NUMBER.ping: return { kind: 'ping', ...readHeader(pingHeader, header) }
    case FRAME_KIND_NUMBER.pong: return { kind: 'pong', ...readHeader(pongHeader, header) }
    case FRAME_KIND_NUMBER.bye: return { kind: 'bye', ...readHeader(byeHeader, header) }
    default: throw new MalformedFrameError(['unknown frame kind'])
  }
}

/**
 * Decodes and validates a frame.
 *
 * @param bytes - one WebSocket message received from the peer
 * @throws MalformedFrameError when the bytes are not a valid frame
 */
export const decodeFrame = (bytes: Uint8Array): Frame<Message> => {
  const [header, ...rest] = unpackSequence(bytes)
  if (!Array.isArray(header)) throw new MalformedFrameError(['frame header is missing'])
  return readFrame(header, rest)
}

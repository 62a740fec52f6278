/** Encodes and decodes the messages of offload links (MessagePack). A malformed message is rejected as a whole. */
import { assertNever, FuchsiaError } from '@fuchsiaworks/kernel'
import { Packr } from 'msgpackr'
import type { DataFrame, OffloadFrame } from './offloadTypes.js'

/** Kinds of frames by their number in a message. */
const KINDS = ['open', 'data', 'end', 'close', 'credit', 'keep-alive', 'close-idle'] as const

const kindNumber = Object.fromEntries(KINDS.map((kind, number) => [kind, number])) as Record<OffloadFrame['kind'], number>

const packer = new Packr({ useRecords: false })

/** A message of an offload link is malformed. */
export class OffloadMessageError extends FuchsiaError {
  /** @param problem - what is invalid in the message */
  constructor (problem: string) {
    super('offload-message', `invalid message on an offload link: ${problem}`)
  }
}

/** Times of data of a caller; older gateways ignore them. */
const encodeTimes = ({ unreadMs, readAt }: DataFrame): number[] => {
  if (readAt !== undefined) return [Math.floor(unreadMs), Math.ceil(readAt)]
  return unreadMs < 1 ? [] : [Math.floor(unreadMs)]
}

const encodeFrame = (frame: OffloadFrame): unknown[] => {
  const number = kindNumber[frame.kind]
  switch (frame.kind) {
    case 'data': return [number, frame.connection, frame.bytes, ...encodeTimes(frame)]
    case 'credit': return [number, frame.connection, frame.bytes]
    case 'close': return [number, frame.connection, frame.isIdle]
    case 'open':
    case 'end': return [number, frame.connection]
    case 'keep-alive': return [number, frame.isAllowed]
    case 'close-idle': return [number]
    default: return assertNever(frame)
  }
}

const expectNumber = (value: unknown): number => {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0) throw new OffloadMessageError('not an unsigned number')
  return value
}

const expectBytes = (value: unknown): Buffer => {
  if (!Buffer.isBuffer(value)) throw new OffloadMessageError('not a buffer')
  return value
}

const decodeFrame = (entry: unknown): OffloadFrame => {
  if (!Array.isArray(entry)) throw new OffloadMessageError('a frame is not an array')
  const [number, connection, content, unreadMs = 0, readAt] = entry as unknown[]
  const kind = KINDS[expectNumber(number)]
  switch (kind) {
    case 'data': return { kind, connection: expectNumber(connection), bytes: expectBytes(content), unreadMs: expectNumber(unreadMs), ...readAt === undefined ? {} : { readAt: expectNumber(readAt) } }
    case 'credit': return { kind, connection: expectNumber(connection), bytes: expectNumber(content) }
    case 'close': return { kind, connection: expectNumber(connection), isIdle: content === true }
    case 'open':
    case 'end': return { kind, connection: expectNumber(connection) }
    case 'keep-alive': return { kind, isAllowed: connection === true }
    case 'close-idle': return { kind }
    case undefined: throw new OffloadMessageError('unknown kind of frame')
    default: return assertNever(kind)
  }
}

/** Encodes frames as one message. */
export const encodeOffloadFrames = (frames: readonly OffloadFrame[]): Buffer => packer.pack(frames.map(encodeFrame))

/**
 * Decodes a message.
 *
 * @throws OffloadMessageError when it is malformed
 */
export const decodeOffloadFrames = (bytes: Buffer): OffloadFrame[] => {
  const frames: unknown = packer.unpack(bytes)
  if (!Array.isArray(frames)) throw new OffloadMessageError('not an array of frames')
  return frames.map(decodeFrame)
}

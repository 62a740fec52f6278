/** Shared MessagePack encoder and decoder, restricted to plain values. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import { Packr } from 'msgpackr'
import { isPlainMessagePack } from './plainMessagePack.js'

const packr = new Packr({ useRecords: false })

/** Bytes received from a peer violate the wire format. */
export class MalformedFrameError extends FuchsiaError {
  /** @param findings - the violations, one phrase each */
  constructor (readonly findings: readonly string[]) {
    super('malformed-frame', `malformed frame: ${findings.join('; ')}`)
  }
}

/**
 * Encodes a plain value as MessagePack.
 *
 * @param value - null, boolean, number, string, bytes, or an array of such values
 */
export const pack = (value: unknown): Uint8Array => packr.pack(value)

/**
 * Decodes a sequence of concatenated plain values.
 *
 * @param bytes - bytes received from a peer
 * @returns the values in order
 * @throws MalformedFrameError when the bytes are not a sequence of complete plain values
 */
export const unpackSequence = (bytes: Uint8Array): unknown[] => {
  if (!isPlainMessagePack(bytes)) throw new MalformedFrameError(['not a sequence of plain MessagePack values'])
  return packr.unpackMultiple(bytes) as unknown[]
}

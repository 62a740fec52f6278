/** The one msgpackr instance: plain values only, one after the other. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import { Packr } from 'msgpackr'
import { isPlainMessagePack } from './plainMessagePack.js'

const packr = new Packr({ useRecords: false })

/** Bytes of a peer that are not what the protocol says. */
export class MalformedFrameError extends FuchsiaError {
  /** @param findings - what is wrong, one sentence each */
  constructor (readonly findings: readonly string[]) {
    super('malformed-frame', `malformed frame: ${findings.join('; ')}`)
  }
}

/**
 * Encodes a plain value.
 *
 * @param value - null, boolean, number, string, bytes, or an array of such
 * @returns its MessagePack bytes
 */
export const pack = (value: unknown): Uint8Array => packr.pack(value)

/**
 * Decodes a sequence of plain values.
 *
 * @param bytes - what a peer sent
 * @returns the values in order
 * @throws MalformedFrameError when the bytes are not whole plain values
 */
export const unpackSequence = (bytes: Uint8Array): unknown[] => {
  if (!isPlainMessagePack(bytes)) throw new MalformedFrameError(['not a sequence of plain values'])
  return packr.unpackMultiple(bytes) as unknown[]
}

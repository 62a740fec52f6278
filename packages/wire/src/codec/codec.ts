/** Encodes frames and messages by msgpackr. */
import { Packr } from 'msgpackr'

const packr = new Packr({ useRecords: false })

/** @returns the value as MessagePack bytes */
export const encode = (value: unknown): Buffer => packr.pack(value)

/** @returns the value that the bytes hold */
export const decode = (bytes: Buffer): unknown => packr.unpack(bytes)

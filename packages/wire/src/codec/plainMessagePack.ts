/**
 * Validates received bytes before msgpackr decodes them. Only a subset of MessagePack is allowed ("plain" values): no
 * extension types, maps or 64-bit integers, no length beyond the end of the input, and limited nesting. msgpackr's
 * extensions can construct arbitrary objects and functions, which input from a peer must never do.
 */

/** Maximum nesting depth of arrays in a frame. */
const MAX_ARRAY_DEPTH = 6

/** Returned in place of an offset for input that is not plain MessagePack. */
const INVALID_OFFSET = -1

/** Encoded size of fixed-size values in bytes, tag included, by tag. */
const FIXED_SIZES: Readonly<Record<number, number>> = {
  0xc0: 1, 0xc2: 1, 0xc3: 1, 0xca: 5, 0xcb: 9, 0xcc: 2, 0xcd: 3, 0xce: 5, 0xd0: 2, 0xd1: 3, 0xd2: 5
}

/** Size in bytes of the length prefix after the tag, for strings and byte strings. */
const LENGTH_SIZES: Readonly<Record<number, number>> = { 0xc4: 1, 0xc5: 2, 0xc6: 4, 0xd9: 1, 0xda: 2, 0xdb: 4 }

const readLength = (bytes: Uint8Array, at: number, size: number): number => {
  let length = 0
  for (let i = 0; i < size; i++) length = length * 256 + (bytes[at + i] ?? 0)
  return length
}

const skipItems = (bytes: Uint8Array, start: number, count: number, depth: number): number => {
  if (depth >= MAX_ARRAY_DEPTH || count > bytes.length - start) return INVALID_OFFSET
  let at = start
  for (let i = 0; i < count && at !== INVALID_OFFSET; i++) at = skipValue(bytes, at, depth + 1)
  return at
}

const skipTagged = (bytes: Uint8Array, at: number, tag: number, depth: number): number => {
  const lengthSize = LENGTH_SIZES[tag]
  if (lengthSize !== undefined) return at + 1 + lengthSize + readLength(bytes, at + 1, lengthSize)
  if (tag === 0xdc) return skipItems(bytes, at + 3, readLength(bytes, at + 1, 2), depth)
  if (tag === 0xdd) return skipItems(bytes, at + 5, readLength(bytes, at + 1, 4), depth)
  const size = FIXED_SIZES[tag]
  return size === undefined ? INVALID_OFFSET : at + size
}

const skipValue = (bytes: Uint8Array, at: number, depth: number): number => {
  const tag = bytes[at]
  if (tag === undefined) return INVALID_OFFSET
  if (tag < 0x80 || tag >= 0xe0) return at + 1
  if (tag >= 0xa0 && tag < 0xc0) return at + 1 + (tag & 0x1f)
  if (tag >= 0x90 && tag < 0xa0) return skipItems(bytes, at + 1, tag & 0x0f, depth)
  return skipTagged(bytes, at, tag, depth)
}

/**
 * Walks a sequence of MessagePack values without decoding them.
 *
 * @param bytes - bytes received from a peer
 * @returns true if the bytes are one or more complete plain values and nothing else
 */
export const isPlainMessagePack = (bytes: Uint8Array): boolean => {
  let at = 0
  while (at !== INVALID_OFFSET && at < bytes.length) at = skipValue(bytes, at, 0)
  return at === bytes.length && at > 0
}

/**
 * Checks that bytes are plain MessagePack before msgpackr reads them: no extension types, maps or 64-bit integers, no
 * length beyond the end, little nesting. msgpackr's extensions build objects and functions, which bytes of a peer must not do.
 */

/** Arrays within arrays that a frame may hold. */
const MAX_ARRAY_DEPTH = 6

/** What the walk returns for bytes that are not plain. */
const INVALID_OFFSET = -1

/** Bytes of a value by its tag, for values of one size. */
const FIXED_SIZES: Readonly<Record<number, number>> = {
  0xc0: 1, 0xc2: 1, 0xc3: 1, 0xca: 5, 0xcb: 9, 0xcc: 2, 0xcd: 3, 0xce: 5, 0xd0: 2, 0xd1: 3, 0xd2: 5
}

/** Bytes of the length that follows the tag, for strings and byte strings. */
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
 * Walks a sequence of MessagePack values.
 *
 * @param bytes - what a peer sent
 * @returns whether the bytes are one or more whole plain values
 */
export const isPlainMessagePack = (bytes: Uint8Array): boolean => {
  let at = 0
  while (at !== INVALID_OFFSET && at < bytes.length) at = skipValue(bytes, at, 0)
  return at === bytes.length && at > 0
}

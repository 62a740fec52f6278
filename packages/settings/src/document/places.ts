/** Lines and columns of offsets in a text. */
import type { SourceLocation } from '@fuchsiaworks/kernel'
import type { NamedText } from './documentTypes.js'

/** Offsets at which the lines of a text begin. */
const lineStarts = (text: string): number[] => {
  const starts = [0]
  for (let at = text.indexOf('\n'); at >= 0; at = text.indexOf('\n', at + 1)) starts.push(at + 1)
  return starts
}

/** Index of the last element that is not above the offset. */
const findLine = (starts: readonly number[], offset: number): number => {
  let low = 0
  let high = starts.length - 1
  while (low < high) {
    const middle = Math.ceil((low + high) / 2)
    if ((starts[middle] ?? 0) <= offset) low = middle
    else high = middle - 1
  }
  return low
}

/**
 * Prepares the translation of offsets for one text.
 *
 * @param text - the named text
 * @returns a function from offset to place
 */
export const placesOf = ({ name, text }: NamedText): (offset: number) => SourceLocation => {
  const starts = lineStarts(text)
  return offset => {
    const line = findLine(starts, offset)
    return { file: name, line: line + 1, column: offset - (starts[line] ?? 0) + 1 }
  }
}

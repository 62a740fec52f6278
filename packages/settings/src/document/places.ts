/** Converts offsets in a text to lines and columns. */
import type { SourceLocation } from '@fuchsiaworks/kernel'
import type { NamedText } from './documentTypes.js'

/** Returns the offset of the first character of each line. */
const lineStarts = (text: string): number[] => {
  const starts = [0]
  for (let newline = text.indexOf('\n'); newline >= 0; newline = text.indexOf('\n', newline + 1)) starts.push(newline + 1)
  return starts
}

/** Returns the index of the last line that starts at or before the offset, by binary search. */
const findLineIndex = (starts: readonly number[], offset: number): number => {
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
 * Creates a function that converts an offset in the text to a place.
 *
 * @param text - the text and its name
 */
export const createPlaceLookup = ({ name, text }: NamedText): (offset: number) => SourceLocation => {
  const starts = lineStarts(text)
  return offset => {
    const line = findLineIndex(starts, offset)
    return { file: name, line: line + 1, column: offset - (starts[line] ?? 0) + 1 }
  }
}

/** Plain-text tables. */

/** Spaces between two columns. */
const COLUMN_SEPARATOR = '  '

const widthOf = (rows: ReadonlyArray<readonly string[]>, column: number): number =>
  Math.max(...rows.map(row => row[column]?.length ?? 0))

/**
 * Lays out a table.
 *
 * @param header - names of the columns
 * @param rows - cells by row
 * @returns one line for the header and one for each row
 */
export const formatTable = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] => {
  const allRows = [header, ...rows]
  const widths = header.map((_name, column) => widthOf(allRows, column))
  return allRows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_SEPARATOR).trimEnd())
}

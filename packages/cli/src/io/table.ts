/** Formatting of plain-text tables. */
const COLUMN_SEPARATOR = '  '

const widthOf = (rows: ReadonlyArray<readonly string[]>, column: number): number =>
  Math.max(...rows.map(row => row[column]?.length ?? 0))

/**
 * Formats a table with left-aligned columns.
 *
 * @param header - column names
 * @param rows - cells by row
 * @returns one line for the header and one for each row
 */
export const formatTable = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] => {
  const allRows = [header, ...rows]
  const widths = header.map((_name, column) => widthOf(allRows, column))
  return allRows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_SEPARATOR).trimEnd())
}

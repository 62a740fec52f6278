/** Formats plain-text tables for the terminal. */

/** A cell; a column that holds only numbers is right-aligned. */
export type Cell = string | number

/** Decimal places of numbers that are not integers. */
const FRACTION_DIGITS = 2

const formatCell = (cell: Cell): string => {
  if (typeof cell === 'string') return cell
  return Number.isInteger(cell) ? String(cell) : cell.toFixed(FRACTION_DIGITS)
}

/**
 * Formats a table.
 *
 * @param header - names of the columns
 * @param rows - cells of each row
 * @returns the table, without a line break at the end
 */
export const formatTable = (header: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string => {
  const cells = [header, ...rows.map(row => row.map(formatCell))]
  const widths = header.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)))
  const rightAligned = header.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] === 'number'))
  const lines = cells.map(row => widths.map((width, column) => {
    const text = row[column] ?? ''
    return rightAligned[column] === true ? text.padStart(width) : text.padEnd(width)
  }).join('  ').trimEnd())
  return [lines[0], widths.map(width => '-'.repeat(width)).join('  '), ...lines.slice(1)].join('\n')
}

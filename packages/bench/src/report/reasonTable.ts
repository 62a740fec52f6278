/** Formats a table of the reasons why responses were not right. */
import type { RequestResult } from '../load/loadTypes.js'
import { formatTable } from './table.js'

/** Maximum number of rows in the table. */
const MAX_ROWS = 12

const reasonOf = ({ detail }: RequestResult): string => /"type":"(?:urn:fuchsiaworks:)?([^"]+)"/.exec(detail)?.[1] ?? detail.slice(0, 60)

/**
 * Counts results other than `right` by kind of request, result, status and reason.
 *
 * @param results - results of all requests of a run
 * @returns the table, the most frequent first; empty when all responses were right
 */
export const formatReasons = (results: readonly RequestResult[]): string => {
  const counts = new Map<string, number>()
  for (const result of results.filter(item => item.result !== 'right')) {
    const key = [`${result.planned.service} ${result.planned.kind}`, result.result, String(result.status), reasonOf(result)].join('\t')
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  if (counts.size === 0) return ''
  const rows = [...counts].sort(([, a], [, b]) => b - a).slice(0, MAX_ROWS).map(([key, count]) => [...key.split('\t'), count])
  return formatTable(['requests', 'result', 'status', 'reason', 'count'], rows)
}

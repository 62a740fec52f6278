/** Formats a table of results and latency by group of requests. */
import { RESULT_KINDS, type RequestResult } from '../load/loadTypes.js'
import { summariseLatency } from '../measures/latency.js'
import { type Cell, formatTable } from './table.js'

const HEADER = ['requests', 'count', ...RESULT_KINDS, 'p50 ms', 'p95 ms', 'p99 ms', 'first byte p95 ms']

const rowOf = (name: string, results: readonly RequestResult[]): Cell[] => {
  const right = results.filter(result => result.result === 'right')
  const { p50, p95, p99 } = summariseLatency(right.map(result => result.endedAt - result.intendedAt))
  const first = summariseLatency(right.map(result => (result.firstByteAt ?? result.endedAt) - result.intendedAt))
  const counts = RESULT_KINDS.map(kind => results.filter(result => result.result === kind).length)
  return [name, results.length, ...counts, p50, p95, p99, first.p95]
}

/**
 * Formats results as a table.
 *
 * @param results - results of all requests of a run
 * @param groupOf - returns the name of the row that counts a result
 * @returns the table; its last row counts all results
 */
export const formatOutcomes = (results: readonly RequestResult[], groupOf: (result: RequestResult) => string): string => {
  const groups = [...new Set(results.map(groupOf))].sort()
  const rows = groups.map(name => rowOf(name, results.filter(result => groupOf(result) === name)))
  return formatTable(HEADER, [...rows, rowOf('all', results)])
}

/** `fuchsiactl load`: backlog, received service and share of each workspace over all processes. */
import { queryFleet, listUnreachable, reportUnreachable } from '../fleet/queryFleet.js'
import type { Target } from '../fleet/targets.js'
import { type CommandIo, EXIT, type ExitCode } from '../io/commandIo.js'
import { formatTable } from '../io/table.js'
import { type LoadRow, mergeLoad } from './loadReport.js'

const HEADER = ['SERVICE', 'WORKSPACE', 'WAITING', 'OLDEST MS', 'SERVED', 'SHARE', 'WEIGHT', 'BY WEIGHT']

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`

const cellsOf = (row: LoadRow): string[] => [
  row.service,
  row.workspace,
  String(row.waiting),
  row.oldestWaitMs.toFixed(0),
  row.served.toFixed(0),
  percent(row.share),
  String(row.weight),
  percent(row.weightShare)
]

/**
 * Prints the load of each workspace.
 *
 * @param io - output streams
 * @param targets - the processes to query
 * @param json - true to print JSON instead of a table
 * @returns `EXIT.usage` if a process can't be reached
 */
export const loadCommand = async (io: CommandIo, targets: readonly Target[], json: boolean): Promise<ExitCode> => {
  const { responses, unreachable } = await queryFleet(targets, 'workspaces')
  const rows = mergeLoad(responses.map(({ response }) => response))
  if (json) io.out(JSON.stringify({ load: rows, notReached: listUnreachable(unreachable) }, null, 2))
  else formatTable(HEADER, rows.map(cellsOf)).forEach(io.out)
  reportUnreachable(io, unreachable)
  return unreachable.length === 0 ? EXIT.ok : EXIT.usage
}

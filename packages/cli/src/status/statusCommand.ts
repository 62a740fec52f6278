/** `fuchsiactl status`: prints one line for each process. */
import { queryFleet, type ProcessResponse, listUnreachable, reportUnreachable } from '../fleet/queryFleet.js'
import type { Target } from '../fleet/targets.js'
import { type CommandIo, EXIT, type ExitCode } from '../io/commandIo.js'
import { formatTable } from '../io/table.js'

const HEADER = ['HOST', 'ROLE', 'ZONE', 'SITE', 'REVISION', 'STATE', 'WAITING', 'RUNNING', 'LINKS', 'UP S', 'PAUSES', 'PROCESS']

const SECOND_MS = 1000

const stateOf = (response: ProcessResponse<'status'>['response']): string => {
  if (response.draining) return 'draining'
  return response.ready ? 'ready' : 'not ready'
}

const rowOf = ({ target, response }: ProcessResponse<'status'>): string[] => [
  response.host,
  response.role,
  response.zone,
  response.site,
  String(response.revision),
  stateOf(response),
  String(response.waiting),
  String(response.running),
  `${response.linksUp}/${response.links}`,
  String(Math.round(response.uptimeMs / SECOND_MS)),
  String(response.pauses),
  target.name
]

const reportRevisions = (io: CommandIo, responses: ReadonlyArray<ProcessResponse<'status'>>): void => {
  const revisions = [...new Set(responses.map(({ response }) => response.revision))].sort((a, b) => a - b)
  if (revisions.length > 1) io.out(`the processes are at different revisions: ${revisions.join(', ')}`)
}

/**
 * Prints the state of processes.
 *
 * @param io - output streams
 * @param targets - the processes to query
 * @param json - true to print JSON instead of a table
 * @returns `EXIT.usage` if a process can't be reached
 */
export const statusCommand = async (io: CommandIo, targets: readonly Target[], json: boolean): Promise<ExitCode> => {
  const { responses, unreachable } = await queryFleet(targets, 'status')
  if (json) {
    const processes = responses.map(({ target, response }) => ({ process: target.name, ...response }))
    io.out(JSON.stringify({ processes, notReached: listUnreachable(unreachable) }, null, 2))
  } else {
    formatTable(HEADER, responses.map(rowOf)).forEach(io.out)
    reportRevisions(io, responses)
  }
  reportUnreachable(io, unreachable)
  return unreachable.length === 0 ? EXIT.ok : EXIT.usage
}

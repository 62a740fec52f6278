/** `fuchsiactl status`: one line for each process. */
import { askFleet, type Answered, listUnreachable, reportUnreachable } from '../fleet/askFleet.js'
import type { Target } from '../fleet/targets.js'
import { type CommandIo, EXIT, type ExitCode } from '../io/commandIo.js'
import { formatTable } from '../io/table.js'

const HEADER = ['HOST', 'ROLE', 'ZONE', 'SITE', 'REVISION', 'STATE', 'WAITING', 'RUNNING', 'LINKS', 'UP S', 'PAUSES', 'PROCESS']

/** Milliseconds in a second. */
const SECOND_MS = 1000

const stateOf = (answer: Answered<'status'>['answer']): string => {
  if (answer.draining) return 'draining'
  return answer.ready ? 'ready' : 'not ready'
}

const rowOf = ({ target, answer }: Answered<'status'>): string[] => [
  answer.host,
  answer.role,
  answer.zone,
  answer.site,
  String(answer.revision),
  stateOf(answer),
  String(answer.waiting),
  String(answer.running),
  `${answer.linksUp}/${answer.links}`,
  String(Math.round(answer.uptimeMs / SECOND_MS)),
  String(answer.pauses),
  target.name
]

const reportRevisions = (io: CommandIo, answered: ReadonlyArray<Answered<'status'>>): void => {
  const revisions = [...new Set(answered.map(({ answer }) => answer.revision))].sort((a, b) => a - b)
  if (revisions.length > 1) io.out(`the processes are at different revisions: ${revisions.join(', ')}`)
}

/**
 * Shows the state of processes.
 *
 * @param io - where it goes
 * @param targets - the processes
 * @param json - true for JSON in place of a table
 * @returns usage when a process can't be reached
 */
export const statusCommand = async (io: CommandIo, targets: readonly Target[], json: boolean): Promise<ExitCode> => {
  const { answered, unreachable } = await askFleet(targets, 'status')
  if (json) {
    const processes = answered.map(({ target, answer }) => ({ process: target.name, ...answer }))
    io.out(JSON.stringify({ processes, notReached: listUnreachable(unreachable) }, null, 2))
  } else {
    formatTable(HEADER, answered.map(rowOf)).forEach(io.out)
    reportRevisions(io, answered)
  }
  reportUnreachable(io, unreachable)
  return unreachable.length === 0 ? EXIT.ok : EXIT.usage
}

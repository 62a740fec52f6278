/** `fuchsiactl timeline`: the merged time line of all processes. */
import { asId, assertNever, type RequestId } from '@fuchsiaworks/kernel'
import { queryFleet, listUnreachable, reportUnreachable, type Unreachable } from '../fleet/queryFleet.js'
import type { Target } from '../fleet/targets.js'
import { type CommandIo, EXIT, type ExitCode, UsageError } from '../io/commandIo.js'
import { mergeTimelines } from './mergeTimelines.js'
import { parseDuration } from './parseDuration.js'
import { sequenceDiagram } from './sequenceDiagram.js'
import { timelineTable } from './timelineTable.js'
import type { MergedTimeline } from './timelineTypes.js'

/** Output format of the time line. */
export type TimelineFormat = 'table' | 'json' | 'mermaid'

/** Flags that select the entries and the output format. */
export interface TimelineFlags {
  readonly request: string | undefined
  readonly since: string | undefined
  readonly format: TimelineFormat
}

const queryOf = ({ request, since }: TimelineFlags): Record<string, string> => ({
  ...request === undefined ? {} : { request },
  ...since === undefined ? {} : { since: String(parseDuration(since)) }
})

const checkFlags = ({ request, since, format }: TimelineFlags): void => {
  if (request === undefined && since === undefined) throw new UsageError('missing --request ID or --since DURATION')
  if (format === 'mermaid' && request === undefined) throw new UsageError('--format mermaid needs --request ID')
}

const toJson = ({ entries, clocks }: MergedTimeline, unreachable: readonly Unreachable[]): string =>
  JSON.stringify({ entries, clocks: Object.fromEntries(clocks), notReached: listUnreachable(unreachable) }, null, 2)

const linesOf = (timeline: MergedTimeline, flags: TimelineFlags, unreachable: readonly Unreachable[]): string[] => {
  switch (flags.format) {
    case 'table':
      return timelineTable(timeline)
    case 'json':
      return [toJson(timeline, unreachable)]
    case 'mermaid':
      return sequenceDiagram(timeline.entries, asId<RequestId>(flags.request ?? ''))
    default:
      return assertNever(flags.format)
  }
}

/**
 * Prints the merged time line.
 *
 * @param io - output streams
 * @param targets - the processes to query; the clock of the first one that responds is the reference
 * @param flags - selection of entries and output format
 * @returns `EXIT.usage` if a process can't be reached
 */
export const timelineCommand = async (io: CommandIo, targets: readonly Target[], flags: TimelineFlags): Promise<ExitCode> => {
  checkFlags(flags)
  const { responses, unreachable } = await queryFleet(targets, 'timeline', queryOf(flags))
  const timeline = mergeTimelines(responses.map(({ response }) => response))
  linesOf(timeline, flags, unreachable).forEach(line => { io.out(line) })
  reportUnreachable(io, unreachable)
  return unreachable.length === 0 ? EXIT.ok : EXIT.usage
}

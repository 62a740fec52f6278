/** Formats a merged time line as a table. */
import { assertNever, type TimeLineEvent } from '@fuchsiaworks/kernel'
import { formatTable } from '../io/table.js'
import type { MergedEntry, MergedTimeline } from './timelineTypes.js'

const HEADER = ['TIME', 'HOST', 'ROLE', 'EVENT', 'OF', 'DETAIL']

/** Returns the subject of an event: the request, peer, revision, zone, upstream or length of a pause. */
const subjectOf = (event: TimeLineEvent): string => {
  switch (event.kind) {
    case 'request-received':
    case 'request-offered':
    case 'request-handed-over':
    case 'request-started':
    case 'request-first-byte':
    case 'request-resumed':
    case 'request-declined':
    case 'request-retried':
    case 'request-ended':
    case 'request-refused':
    case 'request-abandoned':
      return [event.request, event.workspace, event.service, event.upstream].filter(part => part !== undefined).join(' ')
    case 'link-up':
    case 'link-silent':
    case 'link-replaced':
    case 'link-down':
      return event.peer
    case 'revision-accepted':
    case 'revision-refused':
      return `revision ${event.revision}`
    case 'zone-changed':
    case 'upstream-changed':
    case 'limit-changed':
    case 'drain-started':
    case 'fingerprint-refused':
      return [event.zone, event.upstream].filter(part => part !== undefined).join(' ')
    case 'pause-seen':
      return `${event.length.toFixed(0)} ms`
    default:
      return assertNever(event)
  }
}

const detailOf = (event: TimeLineEvent): string => 'detail' in event ? event.detail ?? '' : ''

/** Formats a time. A question mark marks a time whose clock offset is unknown. */
const timeOf = ({ time, corrected }: MergedEntry): string => `${new Date(time).toISOString()}${corrected ? '' : '?'}`

const rowOf = (entry: MergedEntry): string[] =>
  [timeOf(entry), entry.host, entry.role, entry.event.kind, subjectOf(entry.event), detailOf(entry.event)]

/**
 * Formats a merged time line.
 *
 * @param timeline - the merged time line
 * @returns a line for each clock correction that was applied, followed by the table
 */
export const timelineTable = ({ entries, clocks }: MergedTimeline): string[] => {
  const hosts = new Set(entries.map(entry => entry.host))
  const clockLines = [...clocks]
    .filter(([host, { within }]) => hosts.has(host) && within > 0)
    .map(([host, { add, within }]) => `clock of ${host}: corrected by ${add.toFixed(1)} ms, within ${within.toFixed(1)} ms`)
  return [...clockLines, ...formatTable(HEADER, entries.map(rowOf))]
}

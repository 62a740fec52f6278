/** Deterministic responses of the upstream stand-ins, by which checks recognise the response to a request. */

/** Body of the crash request, which crashes each upstream that runs it. */
export const CRASH_REQUEST_BODY = 'poison'

/** Prompt part that crashes each upstream which begins to write a response to it. */
export const CRASH_PART = 'dead'

/** Events of a stream. */
export const EVENTS_PER_STREAM = 12

/** Filler of a plain response, long enough to truncate it in the middle. */
const FILLER = '.'.repeat(700)

/** @returns the body of a plain response */
export const plainBody = (attempt: string, body: string): string => `${attempt} ${body} ${FILLER}`

/** @returns the text of one event of a stream, with the software version of its upstream if that matters; event ids start at 1 */
export const streamEvent = (attempt: string, eventId: number, version?: string): string =>
  `id: ${eventId}\ndata: ${attempt}/${eventId}${version === undefined ? '' : `/${version}`}\n\n`

/** @returns the events of a stream after the event `lastEventId`; 0 for the complete stream */
export const streamEvents = (attempt: string, lastEventId: number): string[] =>
  Array.from({ length: EVENTS_PER_STREAM - lastEventId }, (_, nth) => streamEvent(attempt, lastEventId + nth + 1))

/** @returns the text of a stream after the event `lastEventId`; 0 for the complete stream */
export const streamBody = (attempt: string, lastEventId: number): string => streamEvents(attempt, lastEventId).join('')

/** @returns the response seal for an attempt and a status */
export const sealOf = (attempt: string, status: number): string => `seal.${attempt}.${status}`

/** @returns the id of the last complete event in a part of a stream; 0 when there is none */
export const lastEventIdOf = (body: string): number => Number([...body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)].at(-1)?.[1] ?? 0)

/** What stand-in upstreams answer, and how a caller recognises it. */

/** Body of the request that ends each upstream that runs it. */
export const CRASH_REQUEST_BODY = 'poison'

/** Events of a stream. */
export const EVENTS_PER_STREAM = 12

/** Bytes of filler in a plain answer. */
const FILLER = '.'.repeat(700)

/** @returns the body of a plain answer */
export const plainBody = (attempt: string, body: string): string => `${attempt} ${body} ${FILLER}`

/** @returns the text of one event of a stream; they count from 1 */
export const streamEvent = (attempt: string, eventId: number): string => `id: ${eventId}\ndata: ${attempt}/${eventId}\n\n`

/** @returns the text of a stream after its first `after` events */
export const streamBody = (attempt: string, lastEventId: number): string =>
  Array.from({ length: EVENTS_PER_STREAM - lastEventId }, (_, nth) => streamEvent(attempt, lastEventId + nth + 1)).join('')

/** @returns the upstream's word for an answer */
export const sealOf = (attempt: string, status: number): string => `seal.${attempt}.${status}`

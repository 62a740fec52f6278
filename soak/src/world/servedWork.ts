/** What stand-in upstreams answer, and how a caller recognises it. */

/** Body of the request that ends each upstream that runs it. */
export const POISON = 'poison'

/** Events of a stream. */
export const STREAM_EVENTS = 12

/** Bytes of filler in a plain answer. */
const FILLER = '.'.repeat(700)

/** @returns the body of a plain answer */
export const plainAnswer = (attempt: string, body: string): string => `${attempt} ${body} ${FILLER}`

/** @returns the text of one event of a stream; they count from 1 */
export const streamEvent = (attempt: string, nth: number): string => `id: ${nth}\ndata: ${attempt}/${nth}\n\n`

/** @returns the text of a stream after its first `after` events */
export const streamAnswer = (attempt: string, after: number): string =>
  Array.from({ length: STREAM_EVENTS - after }, (_, nth) => streamEvent(attempt, after + nth + 1)).join('')

/** @returns the upstream's word for an answer */
export const sealOf = (attempt: string, status: number): string => `seal.${attempt}.${status}`

/** Wall-clock time with parts of a millisecond, comparable over the processes of one machine. */

/** @returns milliseconds since the Unix epoch */
export const wallNow = (): number => performance.timeOrigin + performance.now()

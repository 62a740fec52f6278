/** Wall-clock time with sub-millisecond resolution, comparable between the processes of one machine. */

/** @returns milliseconds since the Unix epoch */
export const wallNow = (): number => performance.timeOrigin + performance.now()

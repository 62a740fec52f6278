/** Waits for polls of the sockets. All waits share one immediate for each iteration of the event loop, as a busy gateway waits for each connection. */

/** Calls that are due after the current poll, and after the one that follows it. */
let due: Array<() => void> = []
let later: Array<() => void> = []
let isScheduled = false

/** Runs after each poll while there are calls. */
const onPolled = (): void => {
  const runs = due
  due = later
  later = []
  isScheduled = due.length > 0
  if (isScheduled) setImmediate(onPolled)
  for (const run of runs) run()
}

/**
 * Calls back once the event loop has polled its sockets once more, beyond the poll that it is in.
 *
 * @param run - must not throw
 */
export const afterNextPoll = (run: () => void): void => {
  later.push(run)
  if (isScheduled) return
  isScheduled = true
  setImmediate(onPolled)
}

/** As `afterNextPoll`. */
export const nextPoll = async (): Promise<void> => { await new Promise<void>(afterNextPoll) }

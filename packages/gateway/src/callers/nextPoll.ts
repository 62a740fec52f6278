/** Waits until the event loop has polled its sockets once more: the second immediate runs after the poll phase that follows the first. */
export const nextPoll = async (): Promise<void> => {
  await new Promise<void>(resolve => { setImmediate(() => { setImmediate(resolve) }) })
}

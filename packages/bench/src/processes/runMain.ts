/** Runs the main function of a command; handles signals, errors and the exit code. */
import { FuchsiaError, toError } from '@fuchsiaworks/kernel'

/** SIGINT or SIGTERM arrived before the command was done. */
export class StoppedError extends FuchsiaError {
  constructor () {
    super('stopped', 'stopped by a signal before the run was complete')
  }
}

/**
 * Runs a command and exits the process with its exit code, or with 1 after an error.
 *
 * @param run - the command; its argument resolves on SIGINT or SIGTERM; it returns the exit code
 */
export const runMain = async (run: (stopped: Promise<void>) => Promise<number>): Promise<void> => {
  const stopped = new Promise<void>(resolve => {
    process.once('SIGINT', () => { resolve() })
    process.once('SIGTERM', () => { resolve() })
  })
  try {
    process.exitCode = await run(stopped)
  } catch (err) {
    console.error(toError(err).message)
    process.exitCode = 1
  }
  process.exit()
}

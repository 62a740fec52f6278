/** Runs a command of the bench: one exit code, one place for signals and errors. */
import { FuchsiaError, toError } from '@fuchsiaworks/kernel'

/** The user ended a command before it was done. */
export class StoppedError extends FuchsiaError {
  constructor () {
    super('stopped', 'stopped before the end')
  }
}

/**
 * Runs a command and ends the process with its result.
 *
 * @param run - the command; its argument settles when the user asks to stop; it returns the exit code
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

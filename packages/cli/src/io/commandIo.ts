/** Input, output and exit codes of commands. */
import { readFile } from 'node:fs/promises'
import { FindingsError, FuchsiaError, toError } from '@fuchsiaworks/kernel'
import type { NamedText } from '@fuchsiaworks/settings'

/** Exit codes of both programs. */
export const EXIT = {
  /** Success. */
  ok: 0,
  /** The input has findings, or a process did not drain completely. */
  findings: 1,
  /** Wrong usage, an unreadable file, a failed start, or a process that can't be reached. */
  usage: 2
} as const

/** One of the exit codes. */
export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** Output streams of a command. Each call appends a line break. */
export interface CommandIo {
  readonly out: (text: string) => void
  readonly err: (text: string) => void
}

/** Standard output and standard error of the process. */
export const processIo: CommandIo = {
  out: text => { process.stdout.write(`${text}\n`) },
  err: text => { process.stderr.write(`${text}\n`) }
}

/** The arguments of a command are invalid, or a file that they name can't be read. */
export class UsageError extends FuchsiaError {
  /** @param message - what is wrong with the arguments or the file */
  constructor (message: string) {
    super('usage', message)
  }
}

/**
 * Reads a file.
 *
 * @param path - path as given on the command line; findings use it as the name of the file
 * @returns the text and the path
 * @throws UsageError if the file can't be read
 */
export const readTextFile = async (path: string): Promise<NamedText> => {
  try {
    return { name: path, text: await readFile(path, 'utf8') }
  } catch (err) {
    throw new UsageError(toError(err).message)
  }
}

/**
 * Runs a command. Prints the message of a thrown error and converts the error to an exit code.
 *
 * @param io - output streams
 * @param run - the command
 */
export const runCommand = async (io: CommandIo, run: () => Promise<ExitCode>): Promise<ExitCode> => {
  try {
    return await run()
  } catch (err) {
    io.err(toError(err).message)
    return err instanceof FindingsError ? EXIT.findings : EXIT.usage
  }
}

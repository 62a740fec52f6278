/** What a command needs of the outside: where it writes, and what its exit code means. */
import { readFile } from 'node:fs/promises'
import { FindingsError, FuchsiaError, toError } from '@fuchsiaworks/kernel'
import type { NamedText } from '@fuchsiaworks/settings'

/** Exit codes of both programs. */
export const EXIT = {
  /** All is well. */
  ok: 0,
  /** The input has findings. */
  findings: 1,
  /** Wrong usage, an unreadable file, or a process that can't be reached. */
  usage: 2
} as const

/** One of the exit codes. */
export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** Where a command writes; each call adds the line break. */
export interface CommandIo {
  readonly out: (text: string) => void
  readonly err: (text: string) => void
}

/** The streams of the running process. */
export const processIo: CommandIo = {
  out: text => { process.stdout.write(`${text}\n`) },
  err: text => { process.stderr.write(`${text}\n`) }
}

/** A command was called in a way that it does not know. */
export class UsageError extends FuchsiaError {
  /** @param message - what is wrong with the call */
  constructor (message: string) {
    super('usage', message)
  }
}

/**
 * Reads a file.
 *
 * @param path - path as the operator wrote it; it names the file in findings
 * @returns its text
 * @throws UsageError when it can't be read
 */
export const readTextFile = async (path: string): Promise<NamedText> => {
  try {
    return { name: path, text: await readFile(path, 'utf8') }
  } catch (err) {
    throw new UsageError(toError(err).message)
  }
}

/**
 * Runs a command and turns what it throws into messages and an exit code.
 *
 * @param io - where messages go
 * @param run - the command
 * @returns the exit code
 */
export const runCommand = async (io: CommandIo, run: () => Promise<ExitCode>): Promise<ExitCode> => {
  try {
    return await run()
  } catch (err) {
    io.err(toError(err).message)
    return err instanceof FindingsError ? EXIT.findings : EXIT.usage
  }
}

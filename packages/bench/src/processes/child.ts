/** A child process of the bench: started, signalled by its id, and ended. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { FuchsiaError } from '@fuchsiaworks/kernel'

/** Lines of output that are kept for a report unless more are asked for. */
const DEFAULT_OUTPUT_LINES = 40

/** Milliseconds that a process has to end after SIGTERM, longer than the patience of every caller. */
const SHUTDOWN_TIMEOUT_MS = 40_000

/** A process of the bench ended before it was asked to. */
export class ChildEndedError extends FuchsiaError {
  constructor (name: string, code: number | null, lines: readonly string[]) {
    super('child-ended', `${name} ended with ${code ?? 'a signal'}; its last lines:\n${lines.join('\n')}`)
  }
}

const runningChildren = new Set<ChildProcess>()
process.on('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** One started process. */
export class Child {
  readonly #childProcess: ChildProcess
  readonly #lines: string[] = []
  readonly #firstLine: Promise<string>
  /** Settles with the exit code, or null after a signal. */
  readonly ended: Promise<number | null>
  /** True once the bench has asked it to end. */
  stopping = false

  /**
   * Starts a program of the project under the Node that runs the bench.
   *
   * @param name - name in reports
   * @param args - script and its arguments
   * @param keptLines - last lines of output to keep
   */
  constructor (readonly name: string, readonly args: readonly string[], readonly keptLines = DEFAULT_OUTPUT_LINES) {
    this.#childProcess = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ROARR_LOG: 'true' } })
    runningChildren.add(this.#childProcess)
    this.ended = new Promise(resolve => {
      this.#childProcess.once('exit', code => {
        runningChildren.delete(this.#childProcess)
        resolve(code)
      })
    })
    this.#firstLine = this.#readLines()
    this.#firstLine.catch(() => {})
  }

  /** Process id. */
  get pid (): number {
    return this.#childProcess.pid ?? 0
  }

  /** True while the process lives. */
  get alive (): boolean {
    return this.#childProcess.exitCode === null && this.#childProcess.signalCode === null
  }

  /** Last lines that it wrote. */
  get lines (): readonly string[] {
    return this.#lines
  }

  /**
   * Waits for the first line on standard output.
   *
   * @returns the line
   * @throws ChildEndedError when the process ends first
   */
  async firstLine (): Promise<string> {
    return await this.#firstLine
  }

  /** Sends a signal to this process only. */
  signal (name: NodeJS.Signals): void {
    if (this.alive) this.#childProcess.kill(name)
  }

  /** Ends the process at once, as a lost host would. */
  async kill (): Promise<void> {
    this.stopping = true
    this.signal('SIGKILL')
    await this.ended
  }

  /** Asks the process to end, and ends it when it does not. */
  async close (): Promise<void> {
    this.stopping = true
    this.signal('SIGCONT')
    this.signal('SIGTERM')
    const timer = setTimeout(() => { this.signal('SIGKILL') }, SHUTDOWN_TIMEOUT_MS)
    await this.ended
    clearTimeout(timer)
  }

  async #readLines (): Promise<string> {
    const out = createInterface({ input: this.#childProcess.stdout ?? process.stdin })
    const err = createInterface({ input: this.#childProcess.stderr ?? process.stdin })
    err.on('line', line => { this.#keepLine(line) })
    out.on('line', line => { this.#keepLine(line) })
    return await new Promise<string>((resolve, reject) => {
      out.once('line', resolve)
      this.ended.then(code => { reject(new ChildEndedError(this.name, code, this.#lines)) }, reject)
    })
  }

  #keepLine (line: string): void {
    this.#lines.push(line)
    if (this.#lines.length > this.keptLines) this.#lines.shift()
  }
}

/** Spawns, signals and terminates child processes of the bench. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { FuchsiaError } from '@fuchsiaworks/kernel'

/** Number of last output lines kept for error reports. */
const DEFAULT_OUTPUT_LINES = 40

/** Time from SIGTERM to SIGKILL; longer than every caller waits for a response, so that a graceful shutdown can finish. */
const SHUTDOWN_TIMEOUT_MS = 40_000

/** A child process exited although the bench had not stopped it. */
export class ChildEndedError extends FuchsiaError {
  constructor (name: string, code: number | null, lines: readonly string[]) {
    super('child-ended', `${name} exited unexpectedly with ${code ?? 'a signal'}; last lines of output:\n${lines.join('\n')}`)
  }
}

const runningChildren = new Set<ChildProcess>()
process.on('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** A running or exited child process. */
export class Child {
  readonly #childProcess: ChildProcess
  readonly #lines: string[] = []
  readonly #firstLine: Promise<string>
  /** Resolves on exit with the exit code, or null after a signal. */
  readonly ended: Promise<number | null>
  /** True once the bench has started to stop or kill the process. */
  stopping = false

  /**
   * Runs a script with the Node.js binary that runs the bench.
   *
   * @param name - name of the process in reports
   * @param args - path of the script, and its arguments
   * @param keptLines - maximum number of last output lines to keep
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

  get pid (): number {
    return this.#childProcess.pid ?? 0
  }

  get alive (): boolean {
    return this.#childProcess.exitCode === null && this.#childProcess.signalCode === null
  }

  /** Last lines written to standard output and standard error. */
  get lines (): readonly string[] {
    return this.#lines
  }

  /**
   * Waits for the first line on standard output.
   *
   * @returns the line
   * @throws ChildEndedError when the process exits before it writes a line
   */
  async firstLine (): Promise<string> {
    return await this.#firstLine
  }

  /** Sends a signal to this process, not to its process group. */
  signal (name: NodeJS.Signals): void {
    if (this.alive) this.#childProcess.kill(name)
  }

  /** Kills the process without a shutdown, as when its host fails, and waits for the exit. */
  async kill (): Promise<void> {
    this.stopping = true
    this.signal('SIGKILL')
    await this.ended
  }

  /** Sends SIGTERM, and SIGKILL after the shutdown timeout; resumes a paused process first. */
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

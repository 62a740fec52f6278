/**
 * Ends a process on signals: the first drains, an interrupt after it closes at once. SIGTERM may come again and again from a
 * supervisor and cuts no work short; a process that still starts has none, and ends at the second signal of either kind.
 */
import type { EventEmitter } from 'node:events'
import { toError } from '../errors/errors.js'
import { createLog } from '../log/log.js'
import type { RunningProcess } from './runningProcess.js'

/** Signals that end the process. */
const SIGNALS = ['SIGTERM', 'SIGINT'] as const

const log = createLog('process')

const drainAndClose = async (running: RunningProcess, isForced: () => boolean): Promise<void> => {
  log.info('draining')
  await running.drain()
  if (isForced()) return
  await running.close()
  log.info('drained and closed')
}

/** Ends one process. A signal that comes while it starts takes effect once it runs. */
class SignalShutdown {
  #signalCount = 0
  #isForced = false
  #running: RunningProcess | undefined
  #settle = (_complete: boolean): void => {}
  /** Settles with true when all work ended, with false when it was cut short. */
  readonly finished = new Promise<boolean>(resolve => { this.#settle = resolve })

  onStarted (running: RunningProcess): void {
    this.#running = running
    if (this.#signalCount > 0) this.#drain(running)
  }

  readonly onSignal = (signal: NodeJS.Signals): void => {
    if (this.#isForced) return
    this.#signalCount += 1
    if (this.#signalCount === 1 && this.#running !== undefined) this.#drain(this.#running)
    if (this.#signalCount > 1 && (signal === 'SIGINT' || this.#running === undefined)) this.#force()
  }

  #drain (running: RunningProcess): void {
    const isForced = (): boolean => this.#isForced
    drainAndClose(running, isForced).then(() => { if (!isForced()) this.#settle(true) }, this.#onFailure)
  }

  #force (): void {
    this.#isForced = true
    if (this.#running === undefined) this.#settle(false)
    else this.#running.close().then(() => { this.#settle(false) }, this.#onFailure)
  }

  readonly #onFailure = (err: unknown): void => {
    log.error('the process did not end cleanly', { reason: toError(err).message })
    this.#settle(false)
  }
}

/**
 * Waits for signals and ends the process as they ask. Signals are taken from the call on, also while the process starts.
 *
 * @param starting - the process, once it runs; its failure is passed on
 * @param signals - source of the signals, as `process`
 * @returns true when all work ended, false when an interrupt or a failure cut it short
 */
export const runUntilSignal = async (starting: Promise<RunningProcess>, signals: EventEmitter): Promise<boolean> => {
  const shutdown = new SignalShutdown()
  const handlers = SIGNALS.map(signal => [signal, () => { shutdown.onSignal(signal) }] as const)
  for (const [signal, handler] of handlers) signals.on(signal, handler)
  const completed = starting.then(async running => {
    shutdown.onStarted(running)
    return await shutdown.finished
  })
  try {
    return await Promise.race([completed, shutdown.finished])
  } finally {
    for (const [signal, handler] of handlers) signals.removeListener(signal, handler)
  }
}

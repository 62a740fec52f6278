/**
 * Shuts a process down on signals. The first SIGTERM or SIGINT drains it; a later SIGINT closes it immediately. A repeated SIGTERM
 * is ignored, because supervisors may send it many times. A process that is still starting has no work to drain and stops at the
 * second signal of either kind.
 */
import type { EventEmitter } from 'node:events'
import { toError } from '../errors/errors.js'
import { createLog } from '../log/log.js'
import type { RunningProcess } from './runningProcess.js'

const SIGNALS = ['SIGTERM', 'SIGINT'] as const

const log = createLog('process')

const drainAndClose = async (running: RunningProcess, isForced: () => boolean): Promise<void> => {
  log.info('draining; waiting for the work in progress')
  await running.drain()
  if (isForced()) return
  await running.close()
  log.info('drained and closed')
}

/** Shutdown state of one process. A signal received while the process is starting takes effect once it has started. */
class SignalShutdown {
  #signalCount = 0
  #isForced = false
  #running: RunningProcess | undefined
  #settle = (_complete: boolean): void => {}
  /** Resolves to true when all work was completed, to false when it was aborted. */
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
    log.error('shutdown failed', { reason: toError(err).message })
    this.#settle(false)
  }
}

/**
 * Waits for signals and shuts the process down accordingly. Signals are handled from this call on, also while the process is
 * starting.
 *
 * @param starting - resolves to the process once it has started; a rejection is propagated
 * @param signals - emitter of the signals, normally `process`
 * @returns true when all work was completed, false when an interrupt or a failure aborted it
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

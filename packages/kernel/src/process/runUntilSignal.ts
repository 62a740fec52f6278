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
class SignalledEnd {
  #count = 0
  #isForced = false
  #running: RunningProcess | undefined
  #finish = (_whole: boolean): void => {}
  /** Settles with true when all work ended, with false when it was cut short. */
  readonly finished = new Promise<boolean>(resolve => { this.#finish = resolve })

  started (running: RunningProcess): void {
    this.#running = running
    if (this.#count > 0) this.#drain(running)
  }

  readonly onSignal = (signal: NodeJS.Signals): void => {
    if (this.#isForced) return
    this.#count += 1
    if (this.#count === 1 && this.#running !== undefined) this.#drain(this.#running)
    if (this.#count > 1 && (signal === 'SIGINT' || this.#running === undefined)) this.#force()
  }

  #drain (running: RunningProcess): void {
    const isForced = (): boolean => this.#isForced
    drainAndClose(running, isForced).then(() => { if (!isForced()) this.#finish(true) }, this.#fail)
  }

  #force (): void {
    this.#isForced = true
    if (this.#running === undefined) this.#finish(false)
    else this.#running.close().then(() => { this.#finish(false) }, this.#fail)
  }

  readonly #fail = (err: unknown): void => {
    log.error('the process did not end cleanly', { reason: toError(err).message })
    this.#finish(false)
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
  const end = new SignalledEnd()
  const handlers = SIGNALS.map(signal => [signal, () => { end.onSignal(signal) }] as const)
  for (const [signal, handler] of handlers) signals.on(signal, handler)
  const ended = starting.then(async running => {
    end.started(running)
    return await end.finished
  })
  try {
    return await Promise.race([ended, end.finished])
  } finally {
    for (const [signal, handler] of handlers) signals.removeListener(signal, handler)
  }
}

/** Ends a process on signals: the first drains, the second closes at once. */
import type { EventEmitter } from 'node:events'
import { createLog, toError } from '@fuchsiaworks/kernel'
import type { RunningProcess } from './startProcess.js'

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

/**
 * Waits for signals and ends the process as they ask.
 *
 * @param running - the process
 * @param signals - source of the signals, as `process`
 * @returns true when all work ended, false when a second signal or a failure cut it short
 */
export const runUntilSignal = async (running: RunningProcess, signals: EventEmitter): Promise<boolean> =>
  await new Promise<boolean>(resolve => {
    let count = 0
    const finish = (whole: boolean) => (): void => {
      for (const signal of SIGNALS) signals.removeListener(signal, onSignal)
      resolve(whole)
    }
    const fail = (err: unknown): void => {
      log.error('the process did not end cleanly', { reason: toError(err).message })
      finish(false)()
    }
    const onSignal = (): void => {
      count += 1
      if (count === 1) drainAndClose(running, () => count > 1).then(() => { if (count === 1) finish(true)() }, fail)
      if (count === 2) running.close().then(finish(false), fail)
    }
    for (const signal of SIGNALS) signals.on(signal, onSignal)
  })

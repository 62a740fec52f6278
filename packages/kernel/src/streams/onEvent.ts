/** Stream subscription that survives exceptions of its handler. */
import type { Stream } from 'most'
import { toError } from '../errors/errors.js'
import type { Log } from '../log/log.js'

export interface Subscription {
  close: () => void
}

/**
 * Calls a handler for each event of a stream. An exception of the handler is logged and does not end the subscription.
 *
 * @param stream - the events
 * @param log - logger for exceptions and stream errors
 * @param handler - called with each event
 */
export const onEvent = <T>(stream: Stream<T>, log: Log, handler: (event: T) => void): Subscription => {
  const next = (event: T): void => {
    try {
      handler(event)
    } catch (err) {
      log.error('event handler threw an exception', { error: toError(err).stack ?? String(err) })
    }
  }
  const subscription = stream.subscribe({ next, error: err => { log.error('event stream failed; no further events are handled', { error: String(err) }) }, complete: () => {} })
  return { close: () => { subscription.unsubscribe() } }
}

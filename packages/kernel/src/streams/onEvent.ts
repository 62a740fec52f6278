/** Subscribes to a stream in a way that one failing handler call does not end the subscription. */
import type { Stream } from 'most'
import { toError } from '../errors/errors.js'
import type { Log } from '../log/log.js'

/** A subscription that can be ended. */
export interface Subscription {
  close: () => void
}

/**
 * Calls a handler for each event of a stream.
 *
 * @param stream - the events
 * @param log - where a failing handler call is told
 * @param handle - called with each event
 * @returns a handle that ends the subscription
 */
export const onEvent = <T>(stream: Stream<T>, log: Log, handle: (event: T) => void): Subscription => {
  const next = (event: T): void => {
    try {
      handle(event)
    } catch (err) {
      log.error('a handler failed', { error: toError(err).stack ?? String(err) })
    }
  }
  const subscription = stream.subscribe({ next, error: err => { log.error('a stream failed', { error: String(err) }) }, complete: () => {} })
  return { close: () => { subscription.unsubscribe() } }
}

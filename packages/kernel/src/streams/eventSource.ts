/** Joins code that emits events to streams of `most`. */
import { type Scheduler, type Sink, Stream } from 'most'

interface Subscriber<T> {
  readonly sink: Sink<T>
  readonly scheduler: Scheduler
}

/** A source of events that is fed by calls. Subscribers run inside `emit`. */
export class EventSource<T> {
  readonly #subscribers = new Set<Subscriber<T>>()

  /** The events from the time of subscription on. */
  readonly stream: Stream<T> = new Stream<T>({
    run: (sink, scheduler) => {
      const subscriber = { sink, scheduler }
      this.#subscribers.add(subscriber)
      return { dispose: () => { this.#subscribers.delete(subscriber) } }
    }
  })

  /**
   * Sends a value to every subscriber.
   *
   * @param value - the event
   */
  emit (value: T): void {
    for (const { sink, scheduler } of this.#subscribers) sink.event(scheduler.now(), value)
  }

  /** Ends the stream for every subscriber. */
  close (): void {
    for (const { sink, scheduler } of this.#subscribers) sink.end(scheduler.now())
    this.#subscribers.clear()
  }
}

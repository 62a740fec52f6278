/** Adapter from imperative event emission to `most` streams. */
import { type Scheduler, type Sink, Stream } from 'most'

interface Subscriber<T> {
  readonly sink: Sink<T>
  readonly scheduler: Scheduler
}

/** A subject: `emit` calls the subscribers of the stream synchronously. */
export class EventSource<T> {
  readonly #subscribers = new Set<Subscriber<T>>()

  /** Stream of the events emitted after subscription. */
  readonly stream: Stream<T> = new Stream<T>({
    run: (sink, scheduler) => {
      const subscriber = { sink, scheduler }
      this.#subscribers.add(subscriber)
      return { dispose: () => { this.#subscribers.delete(subscriber) } }
    }
  })

  /**
   * Delivers an event to every subscriber.
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

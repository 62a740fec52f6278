/** One direction of a relayed connection: forwards bytes in order after a delay. */
import type { Socket } from 'node:net'

/** Queued bytes above which reading from the sender pauses. */
const MAX_QUEUED_BYTES = 1_048_576

/** Delay and delivery conditions of a pipe, read for each chunk. */
export interface PipeTiming {
  /** Delay of the next chunk. */
  readonly delayMs: () => number
  /** Whether chunks that are due may be delivered now. */
  readonly canDeliver: () => boolean
  /** Whether chunks that arrive now are discarded. */
  readonly isDropping: () => boolean
}

/** Forwards bytes from one socket to another. */
export class DelayedPipe {
  readonly #queue: Array<{ due: number, data: Buffer | undefined }> = []
  #queuedBytes = 0
  #isScheduled = false
  #isClosed = false

  /**
   * @param from - socket to read from
   * @param to - socket to write to
   * @param timing - delay and delivery conditions
   */
  constructor (readonly from: Socket, readonly to: Socket, readonly timing: PipeTiming) {
    from.on('data', data => { this.#enqueue(data) })
    from.on('end', () => { this.#enqueue(undefined) })
    to.on('drain', () => { this.flush() })
  }

  /** Delivers the chunks that are due, and schedules the rest. */
  flush (): void {
    this.#isScheduled = false
    for (let first = this.#queue[0]; first !== undefined && this.#isDeliverable(first.due); first = this.#queue[0]) {
      this.#queue.shift()
      this.#deliver(first.data)
    }
    this.#scheduleDelivery()
  }

  close (): void {
    this.#isClosed = true
    this.#queue.length = 0
  }

  #isDeliverable (due: number): boolean {
    return !this.#isClosed && this.timing.canDeliver() && due <= performance.now() && !this.to.writableNeedDrain
  }

  #enqueue (data: Buffer | undefined): void {
    if (this.timing.isDropping()) return
    const due = Math.max(this.#queue.at(-1)?.due ?? 0, performance.now() + this.timing.delayMs())
    this.#queue.push({ due, data })
    this.#queuedBytes += data?.length ?? 0
    if (this.#queuedBytes > MAX_QUEUED_BYTES) this.from.pause()
    this.#scheduleDelivery()
  }

  #deliver (data: Buffer | undefined): void {
    if (data === undefined) {
      this.to.end()
      return
    }
    this.#queuedBytes -= data.length
    this.to.write(data)
    if (this.#queuedBytes <= MAX_QUEUED_BYTES) this.from.resume()
  }

  #scheduleDelivery (): void {
    const first = this.#queue[0]
    if (first === undefined || this.#isScheduled || this.#isClosed || !this.timing.canDeliver() || this.to.writableNeedDrain) return
    this.#isScheduled = true
    const waitMs = first.due - performance.now()
    // Timers have a resolution of 1 ms; for shorter waits the event loop polls until the chunk is due.
    if (waitMs >= 1) setTimeout(() => { this.flush() }, Math.floor(waitMs))
    else setImmediate(() => { this.flush() })
  }
}

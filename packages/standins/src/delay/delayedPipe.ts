/** One direction of a relayed connection: passes bytes on in order after a delay. */
import type { Socket } from 'node:net'

/** Bytes on the way from which the sender is held back. */
const WINDOW_BYTES = 1_048_576

/** Times and gate of a pipe. */
export interface PipeTiming {
  /** Milliseconds until the next bytes arrive. */
  readonly delay: () => number
  /** Whether bytes that are due may be delivered now. */
  readonly open: () => boolean
  /** Whether bytes that arrive now are lost. */
  readonly losing: () => boolean
}

/** Passes bytes from one socket to another. */
export class DelayedPipe {
  readonly #queue: Array<{ due: number, data: Buffer | undefined }> = []
  #queued = 0
  #waiting = false
  #closed = false

  /**
   * @param from - where bytes come from
   * @param to - where they go
   * @param timing - delay and gate
   */
  constructor (readonly from: Socket, readonly to: Socket, readonly timing: PipeTiming) {
    from.on('data', data => { this.#take(data) })
    from.on('end', () => { this.#take(undefined) })
    to.on('drain', () => { this.flush() })
  }

  /** Delivers what is due. */
  flush (): void {
    this.#waiting = false
    for (let first = this.#queue[0]; first !== undefined && this.#deliverable(first.due); first = this.#queue[0]) {
      this.#queue.shift()
      this.#deliver(first.data)
    }
    this.#schedule()
  }

  close (): void {
    this.#closed = true
    this.#queue.length = 0
  }

  #deliverable (due: number): boolean {
    return !this.#closed && this.timing.open() && due <= performance.now() && !this.to.writableNeedDrain
  }

  #take (data: Buffer | undefined): void {
    if (this.timing.losing()) return
    const due = Math.max(this.#queue.at(-1)?.due ?? 0, performance.now() + this.timing.delay())
    this.#queue.push({ due, data })
    this.#queued += data?.length ?? 0
    if (this.#queued > WINDOW_BYTES) this.from.pause()
    this.#schedule()
  }

  #deliver (data: Buffer | undefined): void {
    if (data === undefined) {
      this.to.end()
      return
    }
    this.#queued -= data.length
    this.to.write(data)
    if (this.#queued <= WINDOW_BYTES) this.from.resume()
  }

  #schedule (): void {
    const first = this.#queue[0]
    if (first === undefined || this.#waiting || this.#closed || !this.timing.open() || this.to.writableNeedDrain) return
    this.#waiting = true
    const span = first.due - performance.now()
    // Timers have whole milliseconds; below one the loop turns until the bytes are due.
    if (span >= 1) setTimeout(() => { this.flush() }, Math.floor(span))
    else setImmediate(() => { this.flush() })
  }
}

/** Continuous batching: every request is admitted at once, and each step gives one token to each. */
import type { EngineKnobs } from './engineTypes.js'

/** A request in the batch. */
export interface BatchEntry {
  readonly promptTokens: number
  readonly maxTokens: number
  /** Called for each token, with its position from 0. */
  readonly onToken: (index: number) => void
  /** Called after the last token. */
  readonly onEnd: () => void
}

interface Slot {
  readonly entry: BatchEntry
  readonly firstDue: number
  produced: number
}

/** Steps that the loop makes up for after it was late, before it starts anew from the present. */
const CATCH_UP_STEPS = 4

/** The running requests of one engine. */
export class Batch {
  readonly #slots = new Map<BatchEntry, Slot>()
  #timer: NodeJS.Timeout | undefined
  #due = 0
  #work = 0

  /** @param knobs - reads the present knobs */
  constructor (readonly knobs: () => EngineKnobs) {}

  /** Requests in the batch. */
  get size (): number {
    return this.#slots.size
  }

  /** Requests that wait for their first token. */
  get waiting (): number {
    return [...this.#slots.values()].filter(slot => slot.produced === 0).length
  }

  /** Tokens that the batch holds in the KV cache. */
  get heldTokens (): number {
    return [...this.#slots.values()].reduce((sum, slot) => sum + slot.entry.promptTokens + slot.produced, 0)
  }

  /** Share of coldness left, from 1 (just started) down to 0. It fades only with work done. */
  get coldness (): number {
    return 0.5 ** (this.#work / this.knobs().coldHalfWork)
  }

  /** Admits a request at once. */
  add (entry: BatchEntry): void {
    const { firstToken, promptTokenTime } = this.knobs()
    const prefill = (firstToken + promptTokenTime * entry.promptTokens) * this.#slowdown()
    this.#slots.set(entry, { entry, firstDue: performance.now() + prefill, produced: 0 })
    if (this.#timer === undefined) this.#begin()
  }

  /** Takes a request out; nothing more is called for it. */
  remove (entry: BatchEntry): void {
    this.#slots.delete(entry)
  }

  /** Empties the batch and makes the engine cold. */
  reset (): void {
    this.#slots.clear()
    this.#work = 0
    clearTimeout(this.#timer)
    this.#timer = undefined
  }

  /** Makes the engine cold again while its requests go on. */
  cool (): void {
    this.#work = 0
  }

  #slowdown (): number {
    const { knee, coldFactor } = this.knobs()
    const crowding = Math.max(1, this.#slots.size / knee)
    return crowding * (1 + (coldFactor - 1) * this.coldness)
  }

  #begin (): void {
    this.#due = performance.now()
    this.#schedule()
  }

  #schedule (): void {
    const interval = this.knobs().tokenInterval * this.#slowdown()
    const now = performance.now()
    if (now - this.#due > CATCH_UP_STEPS * interval) this.#due = now
    this.#due += interval
    this.#timer = setTimeout(() => { this.#step() }, Math.max(0, this.#due - now))
  }

  #step (): void {
    this.#timer = undefined
    const now = performance.now()
    for (const slot of [...this.#slots.values()]) {
      if (slot.firstDue <= now && this.#slots.has(slot.entry)) this.#produce(slot)
    }
    if (this.#slots.size > 0) this.#schedule()
  }

  #produce (slot: Slot): void {
    this.#work += 1
    slot.produced += 1
    slot.entry.onToken(slot.produced - 1)
    if (slot.produced < slot.entry.maxTokens) return
    this.#slots.delete(slot.entry)
    slot.entry.onEnd()
  }
}

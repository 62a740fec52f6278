/** Continuous batching: every request joins the batch immediately, and each step generates one token for each request. */
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
  readonly firstTokenAt: number
  producedTokens: number
}

/** Steps by which the loop may lag and still catch up; beyond that it skips the missed steps. */
const CATCH_UP_STEPS = 4

/** The batch of one engine: its running requests and the timing of their tokens. */
export class Batch {
  readonly #slots = new Map<BatchEntry, Slot>()
  #timer: NodeJS.Timeout | undefined
  #nextStepAt = 0
  #tokensSinceCold = 0

  /** @param knobs - returns the current knobs */
  constructor (readonly knobs: () => EngineKnobs) {}

  /** Requests in the batch. */
  get size (): number {
    return this.#slots.size
  }

  /** Requests without their first token yet. */
  get waiting (): number {
    return [...this.#slots.values()].filter(slot => slot.producedTokens === 0).length
  }

  /** Tokens in the KV cache: prompts and generated tokens of all requests. */
  get heldTokens (): number {
    return [...this.#slots.values()].reduce((sum, slot) => sum + slot.entry.promptTokens + slot.producedTokens, 0)
  }

  /** How cold the engine is, from 1 (just started) down to 0. It decreases with generated tokens, not with time. */
  get coldness (): number {
    return 0.5 ** (this.#tokensSinceCold / this.knobs().coldHalfWork)
  }

  /** Adds a request; its first token comes after the prefill time. */
  add (entry: BatchEntry): void {
    const { firstToken: firstTokenMs, promptTokenTime: prefillMsPerToken } = this.knobs()
    const prefillMs = (firstTokenMs + prefillMsPerToken * entry.promptTokens) * this.#slowdownFactor()
    this.#slots.set(entry, { entry, firstTokenAt: performance.now() + prefillMs, producedTokens: 0 })
    if (this.#timer === undefined) this.#startSteps()
  }

  /** Removes a request; its callbacks are not called any more. */
  remove (entry: BatchEntry): void {
    this.#slots.delete(entry)
  }

  /** Removes all requests and makes the engine cold, as a restart does. */
  reset (): void {
    this.#slots.clear()
    this.#tokensSinceCold = 0
    clearTimeout(this.#timer)
    this.#timer = undefined
  }

  /** Makes the engine cold without interrupting its requests. */
  enterColdStart (): void {
    this.#tokensSinceCold = 0
  }

  #slowdownFactor (): number {
    const { knee, coldFactor } = this.knobs()
    const overload = Math.max(1, this.#slots.size / knee)
    return overload * (1 + (coldFactor - 1) * this.coldness)
  }

  #startSteps (): void {
    this.#nextStepAt = performance.now()
    this.#scheduleStep()
  }

  #scheduleStep (): void {
    const intervalMs = this.knobs().tokenInterval * this.#slowdownFactor()
    const now = performance.now()
    if (now - this.#nextStepAt > CATCH_UP_STEPS * intervalMs) this.#nextStepAt = now
    this.#nextStepAt += intervalMs
    this.#timer = setTimeout(() => { this.#runStep() }, Math.max(0, this.#nextStepAt - now))
  }

  #runStep (): void {
    this.#timer = undefined
    const now = performance.now()
    for (const slot of [...this.#slots.values()]) {
      if (slot.firstTokenAt <= now && this.#slots.has(slot.entry)) this.#emitToken(slot)
    }
    if (this.#slots.size > 0) this.#scheduleStep()
  }

  #emitToken (slot: Slot): void {
    this.#tokensSinceCold += 1
    slot.producedTokens += 1
    slot.entry.onToken(slot.producedTokens - 1)
    if (slot.producedTokens < slot.entry.maxTokens) return
    this.#slots.delete(slot.entry)
    slot.entry.onEnd()
  }
}

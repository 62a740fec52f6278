/** Links of the model: messages are delayed, stay in order, and are held back by partitions and pauses. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { Millis } from '@fuchsiaworks/kernel'
import type { ModelFault } from './modelTypes.js'

/** Milliseconds of partition after which a session ends. */
export const SESSION_EXPIRY_MS = 5_000

/** Clock, random numbers and event queue of one model. */
export class ModelLinks {
  readonly #random: RandomGenerator
  readonly #due = new Map<Millis, Array<() => void>>()
  /** Earliest time at which the next message of a link may arrive, so that messages stay in order. */
  readonly #lastArrival = new Map<string, Millis>()
  now: Millis = 0

  constructor (seed: number, readonly delay: readonly [number, number], readonly faults: readonly ModelFault[]) {
    this.#random = xoroshiro128plus(seed)
  }

  /** @returns a uniform random integer from least to largest, both inclusive */
  randomInt (least: number, largest: number): number {
    return uniformInt(this.#random, least, largest)
  }

  /** Schedules a callback for a time that is not yet past. */
  schedule (time: Millis, run: () => void): void {
    const callbacks = this.#due.get(time) ?? []
    callbacks.push(run)
    this.#due.set(time, callbacks)
  }

  /** Runs the callbacks that are due and advances the clock by one millisecond. */
  step (): void {
    for (const run of this.#due.get(this.now) ?? []) run()
    this.#due.delete(this.now)
    this.now += 1
  }

  /** Sends a message in order; `run` delivers it at the other end. */
  send (from: string, to: string, run: () => void): void {
    const link = `${from}>${to}`
    const earliest = Math.max(this.now + this.randomInt(...this.delay), this.#lastArrival.get(link) ?? 0)
    const arrival = this.#deliverableAt(from, to, earliest)
    this.#lastArrival.set(link, arrival)
    this.schedule(Math.ceil(arrival), run)
  }

  /** @returns whether a process is paused now */
  isPaused (process: string): boolean {
    return this.faults.some(fault => fault.kind === 'pause' && fault.process === process && fault.at <= this.now && this.now < fault.until)
  }

  /** @returns whether a partition separates two processes at a time */
  isPartitioned (one: string, other: string, time: Millis = this.now): boolean {
    return this.#partitionBetween(one, other, time) !== undefined
  }

  #partitionBetween (one: string, other: string, time: Millis): ModelFault & { kind: 'partition' } | undefined {
    for (const fault of this.faults) {
      if (fault.kind !== 'partition' || time < fault.at || time >= fault.until) continue
      if (fault.side.includes(one) !== fault.side.includes(other)) return fault
    }
    return undefined
  }

  /** First time from `time` on at which neither a partition nor a pause of the receiver holds a message back. The faults are checked twice, since a later one in the list may delay the message into an earlier one. */
  #deliverableAt (from: string, to: string, time: Millis): Millis {
    let deliverable = time
    for (const fault of [...this.faults, ...this.faults]) {
      if (fault.kind === 'pause' && fault.process === to && fault.at <= deliverable && deliverable < fault.until) deliverable = fault.until
      const partition = this.#partitionBetween(from, to, deliverable)
      if (partition !== undefined) deliverable = partition.until
    }
    return deliverable
  }
}

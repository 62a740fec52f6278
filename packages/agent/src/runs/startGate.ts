/** Starts handed-over requests as the limit allows, and lets one that may have ended an upstream run with nothing beside it. */
import { createLog, onEvent, type RequestId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import { mayRunConcurrently } from '@fuchsiaworks/policy'
import type { LimitService } from '../limits/limitService.js'
import type { RunTable } from './runTable.js'
import type { Slots } from './slots.js'

const log = createLog('slots')

/** A request that may start when the gate opens. */
export interface PendingStart {
  readonly request: RequestId
  /** True when nothing may run beside it. */
  readonly alone: boolean
  readonly start: () => void
  /** Gives it back to its router, because the upstream takes nothing for now. */
  readonly decline: () => void
}

/** Starts requests in order; while one waits to run alone, no further work is pulled. */
export class StartGate {
  #pending: PendingStart[] = []
  #aloneRunning: RequestId | undefined

  constructor (readonly runs: RunTable, readonly slots: Slots, readonly limits: LimitService) {
    onEvent(runs.removals, log, request => { this.#onRemoved(request) })
    onEvent(limits.changes, log, () => { this.#startPending() })
  }

  /**
   * Starts a request now, or once it may.
   *
   * @param pending - the request
   */
  enter (pending: PendingStart): void {
    this.#pending.push(pending)
    this.#startPending()
  }

  /**
   * Takes back a request that has not started.
   *
   * @param request - the request
   */
  leave (request: RequestId): void {
    this.#pending = this.#pending.filter(pending => pending.request !== request)
    this.#startPending()
  }

  /** @returns true while a request has not started because of this gate */
  isWaiting (request: RequestId): boolean {
    return this.#pending.some(pending => pending.request === request)
  }

  #onRemoved (request: RequestId): void {
    if (this.#aloneRunning === request) this.#aloneRunning = undefined
    this.#startPending()
  }

  #startPending (): void {
    if (this.limits.capacity.limit === 0) this.#declineAll()
    for (let next = this.#pending[0]; next !== undefined && this.#mayStart(next); next = this.#pending[0]) {
      this.#pending.shift()
      if (next.alone) this.#aloneRunning = next.request
      next.start()
    }
    this.slots.setPullingPaused(this.#pending.some(({ alone }) => alone) || this.#aloneRunning !== undefined)
  }

  #declineAll (): void {
    const pending = this.#pending
    this.#pending = []
    for (const { decline } of pending) decline()
  }

  #mayStart ({ alone }: PendingStart): boolean {
    const running = this.runs.size
    return running < this.limits.capacity.limit && mayRunConcurrently({ running, suspectRunning: this.#aloneRunning !== undefined }, alone)
  }
}

/** Key of the gate. */
export const startGateKey: ServiceKey<StartGate> = serviceKey('start-gate')

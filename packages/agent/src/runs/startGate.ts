/** Starts handed-over requests within the concurrency limit; a request suspected of crashing upstreams runs alone. */
import { createLog, onEvent, type RequestId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import { mayRunConcurrently } from '@fuchsiaworks/policy'
import type { LimitService } from '../limits/limitService.js'
import type { RunTable } from './runTable.js'
import type { Slots } from './slots.js'

const log = createLog('slots')

/** A request that waits for its start. */
export interface PendingStart {
  readonly request: RequestId
  /** True when no other request may run at the same time. */
  readonly alone: boolean
  readonly start: () => void
  /** Declines the request, because the limit of the upstream is 0. */
  readonly decline: () => void
}

/** Starts requests in order of arrival. Pulling is paused while a request that must run alone waits or runs. */
export class StartGate {
  #pending: PendingStart[] = []
  #aloneRunning: RequestId | undefined

  constructor (readonly runs: RunTable, readonly slots: Slots, readonly limits: LimitService) {
    onEvent(runs.removals, log, request => { this.#onRemoved(request) })
    onEvent(limits.changes, log, () => { this.#startPending() })
  }

  /**
   * Starts a request, at once or when it is allowed to run.
   *
   * @param pending - the request
   */
  enter (pending: PendingStart): void {
    this.#pending.push(pending)
    this.#startPending()
  }

  /**
   * Removes a request that has not started.
   *
   * @param request - the request
   */
  leave (request: RequestId): void {
    this.#pending = this.#pending.filter(pending => pending.request !== request)
    this.#startPending()
  }

  /** @returns true while the request waits for its start */
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

/** Service key of the start gate. */
export const startGateKey: ServiceKey<StartGate> = serviceKey('start-gate')

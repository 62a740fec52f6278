/** Lets a request that may have ended an upstream run with nothing beside it. */
import { createLog, onEvent, type RequestId, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import { mayStartBeside } from '@fuchsiaworks/policy'
import type { RunTable } from './runTable.js'
import type { Slots } from './slots.js'

const log = createLog('slots')

/** A request that may start when the gate opens. */
interface Pending {
  readonly request: RequestId
  readonly alone: boolean
  readonly start: () => void
}

/** Starts requests in order; while one waits to run alone, no further work is pulled. */
export class AloneGate {
  readonly #pending: Pending[] = []
  #aloneRunning: RequestId | undefined

  constructor (readonly table: RunTable, readonly slots: Slots) {
    onEvent(table.removals, log, request => { this.#onRemoved(request) })
  }

  /**
   * Starts a request now, or once it may.
   *
   * @param request - the request
   * @param alone - true when nothing may run beside it
   * @param start - starts it
   */
  enter (request: RequestId, alone: boolean, start: () => void): void {
    this.#pending.push({ request, alone, start })
    this.#open()
  }

  /**
   * Takes back a request that has not started.
   *
   * @param request - the request
   * @returns false when it is not waiting here
   */
  leave (request: RequestId): boolean {
    const at = this.#pending.findIndex(pending => pending.request === request)
    if (at === -1) return false
    this.#pending.splice(at, 1)
    this.#open()
    return true
  }

  /** @returns true while a request has not started because of this gate */
  isWaiting (request: RequestId): boolean {
    return this.#pending.some(pending => pending.request === request)
  }

  #onRemoved (request: RequestId): void {
    if (this.#aloneRunning === request) this.#aloneRunning = undefined
    this.#open()
  }

  #open (): void {
    for (let next = this.#pending[0]; next !== undefined && this.#mayStart(next); next = this.#pending[0]) {
      this.#pending.shift()
      if (next.alone) this.#aloneRunning = next.request
      next.start()
    }
    this.slots.hold(this.#pending.length > 0 || this.#aloneRunning !== undefined)
  }

  #mayStart ({ alone }: Pending): boolean {
    return mayStartBeside({ running: this.table.size, suspectRunning: this.#aloneRunning !== undefined }, alone)
  }
}

/** Key of the gate. */
export const aloneGateKey: ServiceKey<AloneGate> = serviceKey('alone-gate')

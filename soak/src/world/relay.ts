/** TCP relay on a link between two processes of a soak, to inject link faults. */
import { assertNever, type Clock, type Millis } from '@fuchsiaworks/kernel'
import { type DelayStandin, startDelayRelay } from '@fuchsiaworks/standins'
import type { LINK_FAULTS } from '../schedule/faultTypes.js'

/** One-way delay and jitter of a slow link. */
const SLOW_LINK_KNOBS = { delay: 120, jitter: 120 } as const

/** A relay that counts its active faults. */
export class Relay {
  #activeFaults = 0

  private constructor (readonly standin: DelayStandin) {}

  /** @returns a relay to a port on loopback */
  static async start (port: number): Promise<Relay> {
    return new Relay(await startDelayRelay({ target: { host: '127.0.0.1', port } }))
  }

  get address (): string {
    return `127.0.0.1:${this.standin.port}`
  }

  /** Injects a fault for a while. When faults overlap, the newest one applies, and the link recovers when the last one ends. */
  injectFault (clock: Clock, action: typeof LINK_FAULTS[number], durationMs: Millis): void {
    this.#activeFaults += 1
    this.#applyFault(action)
    clock.after(durationMs, () => {
      this.#activeFaults -= 1
      if (this.#activeFaults === 0) this.standin.updateKnobs({ mode: 'pass', delay: 0, jitter: 0 })
    })
  }

  async close (): Promise<void> {
    await this.standin.close()
  }

  #applyFault (action: typeof LINK_FAULTS[number]): void {
    switch (action) {
      case 'cut': return this.standin.updateKnobs({ mode: 'cut' })
      case 'stall': return this.standin.updateKnobs({ mode: 'stalled' })
      case 'delay': return this.standin.updateKnobs(SLOW_LINK_KNOBS)
      case 'silence': return this.standin.silence('both')
      case 'one-way': return this.standin.silence('to-target')
      default: return assertNever(action)
    }
  }
}

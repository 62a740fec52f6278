/** Relays between the processes of a soak, by the link that they stand in. */
import { assertNever, type Clock, type Millis } from '@fuchsiaworks/kernel'
import { type DelayStandin, startDelayRelay } from '@fuchsiaworks/standins'
import type { LINK_FAULTS } from '../schedule/faultTypes.js'

/** Milliseconds that a slow link adds, one way, and its jitter. */
const SLOW_LINK_KNOBS = { delay: 120, jitterMs: 120 } as const

/** A relay with the number of faults that hold on it. */
export class Relay {
  #activeFaults = 0

  private constructor (readonly standin: DelayStandin) {}

  /** @returns a relay that leads to a port of this machine */
  static async start (port: number): Promise<Relay> {
    return new Relay(await startDelayRelay({ target: { host: '127.0.0.1', port } }))
  }

  get address (): string {
    return `127.0.0.1:${this.standin.port}`
  }

  /** Disturbs the link for a while. Of faults that overlap the newest sets how, and the last to end frees the link. */
  injectFault (clock: Clock, action: typeof LINK_FAULTS[number], durationMs: Millis): void {
    this.#activeFaults += 1
    this.#applyFault(action)
    clock.after(durationMs, () => {
      this.#activeFaults -= 1
      if (this.#activeFaults === 0) this.standin.updateKnobs({ mode: 'pass', delay: 0, jitterMs: 0 })
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

/** What operators publish during a run; changes of several faults add up. */
import { type ConfigurationChanges, NO_CHANGES } from '../deployment/documents.js'
import type { Fleet } from '../processes/fleet.js'

/** Publishes configuration and host list. */
export class Operator {
  #changes: ConfigurationChanges = NO_CHANGES

  /** @param fleet - the running fleet */
  constructor (readonly fleet: Fleet) {}

  /** Changes some of what is published. */
  async publish (changes: Partial<ConfigurationChanges>): Promise<void> {
    this.#changes = { ...this.#changes, ...changes }
    await this.fleet.publish(this.#changes)
  }

  /** Publishes a revision that changes nothing. */
  async publishUnchanged (): Promise<void> {
    await this.publish({})
  }
}

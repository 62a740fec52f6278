/** Plays the operator, who publishes configurations during a run. */
import { type ConfigurationChanges, NO_CHANGES } from '../deployment/documents.js'
import type { Fleet } from '../processes/fleet.js'

/** Publishes revisions of the configuration; the changes of faults that are active at once accumulate. */
export class Operator {
  #changes: ConfigurationChanges = NO_CHANGES

  /** @param fleet - the running fleet */
  constructor (readonly fleet: Fleet) {}

  /** Publishes a revision with these changes on top of the earlier ones. */
  async publish (changes: Partial<ConfigurationChanges>): Promise<void> {
    this.#changes = { ...this.#changes, ...changes }
    await this.fleet.publishConfiguration(this.#changes)
  }

  /** Publishes a new revision with unchanged content. */
  async publishUnchanged (): Promise<void> {
    await this.publish({})
  }
}

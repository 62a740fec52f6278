/** Recent refusals with their reasons, for operators. */
import type { Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** One refusal. */
export interface Refusal {
  readonly at: Millis
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  readonly reason: string
}

/** Refusals that are kept. */
const CAPACITY = 200

/** A bounded list of refusals. */
export class Refusals {
  readonly #list: Refusal[] = []

  /** @param refusal - the newest */
  add (refusal: Refusal): void {
    this.#list.push(refusal)
    if (this.#list.length > CAPACITY) this.#list.shift()
  }

  /** @returns the refusals that are kept, oldest first */
  all (): readonly Refusal[] {
    return this.#list
  }
}

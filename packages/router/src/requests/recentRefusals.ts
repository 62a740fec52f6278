/** Recent refusals with their reasons, for the administration API. */
import type { Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { Outcome } from '@fuchsiaworks/wire'

export interface Refusal {
  readonly at: Millis
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  /** HTTP status sent to the caller. */
  readonly status: number
  readonly outcome: Outcome
  readonly reason: string
  /** Retry-After sent to the caller, in milliseconds. */
  readonly retryAfterMs?: Millis
}

const MAX_REFUSALS = 200

/** Bounded list of refusals; the oldest are dropped. */
export class RecentRefusals {
  readonly #refusals: Refusal[] = []

  /** Adds a refusal. */
  add (refusal: Refusal): void {
    this.#refusals.push(refusal)
    if (this.#refusals.length > MAX_REFUSALS) this.#refusals.shift()
  }

  /** @returns the recent refusals, oldest first */
  list (): readonly Refusal[] {
    return this.#refusals
  }
}

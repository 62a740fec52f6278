/** Recent refusals with their reasons, for operators. */
import type { Millis, RequestId, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { Outcome } from '@fuchsiaworks/wire'

/** One refusal. */
export interface Refusal {
  readonly at: Millis
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  /** HTTP status that the caller got. */
  readonly status: number
  readonly outcome: Outcome
  readonly reason: string
  /** Milliseconds after which the caller was told to come back. */
  readonly retryAfterMs?: Millis
}

/** Refusals that are kept. */
const MAX_REFUSALS = 200

/** A bounded list of refusals. */
export class RecentRefusals {
  readonly #refusals: Refusal[] = []

  /** @param refusal - the newest */
  add (refusal: Refusal): void {
    this.#refusals.push(refusal)
    if (this.#refusals.length > MAX_REFUSALS) this.#refusals.shift()
  }

  /** @returns the refusals that are kept, oldest first */
  list (): readonly Refusal[] {
    return this.#refusals
  }
}

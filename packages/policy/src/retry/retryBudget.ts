/** Budget of retries: a share of first attempts, with a small floor, so that it holds fleet-wide as a sum over routers. */
import { getOrMake, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { RetryConfig } from './retryTypes.js'

/** Share of a service's budget that one workspace may hold unused. */
const WORKSPACE_SHARE = 0.5

interface Bucket {
  tokens: number
  filledAt: Millis
}

/** Unused retries by service, and by workspace within each service. */
export class RetryBudget {
  readonly #services = new Map<ServiceId, Bucket>()
  readonly #workspaces = new Map<string, Bucket>()

  /** @param config - share, floor and burst */
  constructor (readonly config: RetryConfig) {}

  /** Adds the share of one first attempt. */
  countFirst (service: ServiceId, workspace: WorkspaceId, now: Millis): void {
    const share = this.config.budgetPercent / 100
    this.#fill(this.#service(service, now), share, this.config.burst)
    this.#fill(this.#workspace(service, workspace, now), share, this.#workspaceBurst)
  }

  /**
   * Takes one retry when the service and the workspace both have one left.
   *
   * @returns false when the budget is spent
   */
  take (service: ServiceId, workspace: WorkspaceId, now: Millis): boolean {
    const total = this.#service(service, now)
    const own = this.#workspace(service, workspace, now)
    if (total.tokens < 1 || own.tokens < 1) return false
    total.tokens -= 1
    own.tokens -= 1
    return true
  }

  get #workspaceBurst (): number {
    return Math.max(1, this.config.burst * WORKSPACE_SHARE)
  }

  #service (service: ServiceId, now: Millis): Bucket {
    return this.#refill(getOrMake(this.#services, service, () => ({ tokens: 1, filledAt: now })), now, this.config.burst)
  }

  #workspace (service: ServiceId, workspace: WorkspaceId, now: Millis): Bucket {
    const name = JSON.stringify([service, workspace])
    return this.#refill(getOrMake(this.#workspaces, name, () => ({ tokens: 1, filledAt: now })), now, this.#workspaceBurst)
  }

  /** Adds the floor for the time since the last look. */
  #refill (bucket: Bucket, now: Millis, burst: number): Bucket {
    const gained = Math.max(0, now - bucket.filledAt) / 1000 * this.config.floorPerSecond
    bucket.filledAt = now
    this.#fill(bucket, gained, burst)
    return bucket
  }

  #fill (bucket: Bucket, gained: number, burst: number): void {
    bucket.tokens = Math.min(burst, bucket.tokens + gained)
  }
}

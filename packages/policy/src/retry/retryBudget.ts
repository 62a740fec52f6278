/**
 * Retry budget as a share of first attempts plus a small floor per router, so that the sum over routers bounds retries
 * fleet-wide.
 */
import { getOrMake, type Millis, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { RetryConfig } from './retryTypes.js'

/** Share of a service's burst that one workspace may accumulate. */
const WORKSPACE_SHARE = 0.5

interface Bucket {
  tokens: number
  filledAt: Millis
}

/** Settings of the budget. */
export type RetryBudgetConfig = Pick<RetryConfig, 'budgetPercent' | 'floorPerSecond' | 'burst'>

/** Token buckets by service, by workspace within each service, and for the floor of the router. */
export class RetryBudget {
  readonly #services = new Map<ServiceId, Bucket>()
  readonly #workspaces = new Map<string, Bucket>()
  readonly #routerFloor: Bucket = { tokens: 1, filledAt: -Infinity }

  /** @param config - share, floor and burst */
  constructor (readonly config: RetryBudgetConfig) {}

  /** Adds the share of a token that one first attempt earns. */
  recordFirstAttempt (service: ServiceId, workspace: WorkspaceId, now: Millis): void {
    const share = this.config.budgetPercent / 100
    const serviceBucket = this.#serviceBucket(service, now)
    const workspaceBucket = this.#workspaceBucket(service, workspace, now)
    serviceBucket.tokens = Math.min(this.config.burst, serviceBucket.tokens + share)
    workspaceBucket.tokens = Math.min(this.#workspaceBurst, workspaceBucket.tokens + share)
  }

  /** @returns true when `tryAcquire` would succeed */
  canAcquire (service: ServiceId, workspace: WorkspaceId, now: Millis): boolean {
    const floor = this.#refill(this.#routerFloor, now, 1)
    const hasSource = this.#serviceBucket(service, now).tokens >= 1 || floor.tokens >= 1
    return hasSource && this.#workspaceBucket(service, workspace, now).tokens >= 1
  }

  /**
   * Takes the token of one retry from the workspace and from the service or, when that has none, the router's floor.
   *
   * @returns false when the budget is exhausted
   */
  tryAcquire (service: ServiceId, workspace: WorkspaceId, now: Millis): boolean {
    const workspaceBucket = this.#workspaceBucket(service, workspace, now)
    const serviceBucket = this.#serviceBucket(service, now)
    const floor = this.#refill(this.#routerFloor, now, 1)
    const source = [serviceBucket, floor].find(bucket => bucket.tokens >= 1)
    if (workspaceBucket.tokens < 1 || source === undefined) return false
    workspaceBucket.tokens -= 1
    source.tokens -= 1
    return true
  }

  get #workspaceBurst (): number {
    return Math.max(1, this.config.burst * WORKSPACE_SHARE)
  }

  #serviceBucket (service: ServiceId, now: Millis): Bucket {
    return getOrMake(this.#services, service, () => ({ tokens: 0, filledAt: now }))
  }

  #workspaceBucket (service: ServiceId, workspace: WorkspaceId, now: Millis): Bucket {
    const key = JSON.stringify([service, workspace])
    return this.#refill(getOrMake(this.#workspaces, key, () => ({ tokens: 1, filledAt: now })), now, this.#workspaceBurst)
  }

  /** Adds the tokens of the floor for the time since the last refill. */
  #refill (bucket: Bucket, now: Millis, burst: number): Bucket {
    const earned = Math.max(0, now - bucket.filledAt) / 1_000 * this.config.floorPerSecond
    bucket.filledAt = now
    bucket.tokens = Math.min(burst, bucket.tokens + earned)
    return bucket
  }
}

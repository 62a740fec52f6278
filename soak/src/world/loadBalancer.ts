/** Knows which gateways take callers, by asking them as the platform's balancer does. */
import { get } from 'node:http'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { READY_PATH } from '@fuchsiaworks/platform-adapter'

/** Milliseconds between two questions, and for an answer. */
const HEALTH_CHECK_INTERVAL_MS: Millis = 250

/** Questions without a good answer that take a gateway out. */
const MAX_FAILED_CHECKS = 2

/** Asks all gateways. */
export class LoadBalancer {
  readonly #failedChecks: number[]
  readonly #timer: Timer

  /**
   * @param clock - source of time
   * @param ports - where gateways answer
   */
  constructor (clock: Clock, readonly ports: readonly number[]) {
    this.#failedChecks = ports.map(() => MAX_FAILED_CHECKS)
    this.#timer = clock.every(HEALTH_CHECK_INTERVAL_MS, () => { this.ports.forEach((port, index) => { this.#checkHealth(port, index) }) })
  }

  /** @returns indexes of the gateways that take callers */
  healthyGateways (): number[] {
    return this.#failedChecks.flatMap((failed, index) => failed < MAX_FAILED_CHECKS ? [index] : [])
  }

  close (): void {
    this.#timer.close()
  }

  #checkHealth (port: number, index: number): void {
    const recordFailure = (): void => { this.#failedChecks[index] = (this.#failedChecks[index] ?? 0) + 1 }
    const req = get({ host: '127.0.0.1', port, path: READY_PATH, agent: false, timeout: HEALTH_CHECK_INTERVAL_MS }, res => {
      res.resume()
      if (res.statusCode === 200) this.#failedChecks[index] = 0
      else recordFailure()
    })
    req.on('timeout', () => { req.destroy(new Error('no answer')) })
    req.on('error', recordFailure)
  }
}

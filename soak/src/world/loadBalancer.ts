/** Health checks that decide which gateways get requests, as the platform's load balancer does. */
import { get } from 'node:http'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { READY_PATH } from '@fuchsiaworks/platform-adapter'

/** Time between two health checks, and timeout of a check. */
const HEALTH_CHECK_INTERVAL_MS: Millis = 250

/** Consecutive failed checks after which a gateway gets no requests. */
const MAX_FAILED_CHECKS = 2

/** Checks the readiness of all gateways. */
export class LoadBalancer {
  readonly #failedChecks: number[]
  readonly #timer: Timer

  /**
   * @param clock - source of time
   * @param ports - readiness port of each gateway
   */
  constructor (clock: Clock, readonly ports: readonly number[]) {
    this.#failedChecks = ports.map(() => MAX_FAILED_CHECKS)
    this.#timer = clock.every(HEALTH_CHECK_INTERVAL_MS, () => { this.ports.forEach((port, index) => { this.#checkHealth(port, index) }) })
  }

  /** @returns indexes of the gateways that get requests */
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
    req.on('timeout', () => { req.destroy(new Error('health check timed out')) })
    req.on('error', recordFailure)
  }
}

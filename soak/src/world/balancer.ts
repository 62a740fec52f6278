/** Knows which gateways take callers, by asking them as the platform's balancer does. */
import { get } from 'node:http'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { READY_PATH } from '@fuchsiaworks/platform-adapter'

/** Milliseconds between two questions, and for an answer. */
const PERIOD_MS: Millis = 250

/** Questions without a good answer that take a gateway out. */
const MAX_MISSED = 2

/** Asks all gateways. */
export class Balancer {
  readonly #missed: number[]
  readonly #timer: Timer

  /**
   * @param clock - source of time
   * @param ports - where gateways answer
   */
  constructor (clock: Clock, readonly ports: readonly number[]) {
    this.#missed = ports.map(() => MAX_MISSED)
    this.#timer = clock.every(PERIOD_MS, () => { this.ports.forEach((port, index) => { this.#ask(port, index) }) })
  }

  /** @returns indexes of the gateways that take callers */
  inService (): number[] {
    return this.#missed.flatMap((missed, index) => missed < MAX_MISSED ? [index] : [])
  }

  close (): void {
    this.#timer.close()
  }

  #ask (port: number, index: number): void {
    const miss = (): void => { this.#missed[index] = (this.#missed[index] ?? 0) + 1 }
    const req = get({ host: '127.0.0.1', port, path: READY_PATH, agent: false, timeout: PERIOD_MS }, res => {
      res.resume()
      if (res.statusCode === 200) this.#missed[index] = 0
      else miss()
    })
    req.on('timeout', () => { req.destroy(new Error('no answer')) })
    req.on('error', miss)
  }
}

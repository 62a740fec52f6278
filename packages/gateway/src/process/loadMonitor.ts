/** Samples the load of the process each second into its metrics, and logs it while the event loop is saturated. */
import { type Clock, createLog, EventLoopMonitor, type ListenQueueProbe, type Millis, type Service, type Timer } from '@fuchsiaworks/kernel'
import type { GatewayMetrics } from '../log/gatewayMetrics.js'

const SAMPLE_INTERVAL_MS: Millis = 1000

/** Utilization of the event loop from which it counts as saturated. */
const SATURATED_UTILIZATION = 0.95

const log = createLog('load')

/** What the other parts of the process have open. */
export interface OpenCounts {
  /** Connections of callers. */
  readonly connections: number
  /** Requests that have not ended. */
  readonly requests: number
}

/** Samples the load until closed. */
export class LoadMonitor implements Service {
  readonly #eventLoop: EventLoopMonitor
  #timer: Timer | undefined
  #isSaturated = false
  #accepted = 0

  /**
   * @param clock - source of time
   * @param metrics - receives the samples
   * @param probe - measures the wait in the listen queue of callers
   * @param openCounts - reads what is open
   */
  constructor (readonly clock: Clock, readonly metrics: GatewayMetrics, readonly probe: ListenQueueProbe, readonly openCounts: () => OpenCounts) {
    this.#eventLoop = new EventLoopMonitor(clock)
  }

  start (): void {
    this.#timer = this.clock.every(SAMPLE_INTERVAL_MS, () => { this.#sample() })
  }

  /** Counts an accepted connection of a caller. */
  recordAccepted (): void {
    this.#accepted += 1
    this.metrics.accepted.inc()
  }

  close (): void {
    this.#timer?.close()
    this.#eventLoop.close()
    this.probe.close()
  }

  #sample (): void {
    const { utilization, maxDelayMs } = this.#eventLoop.takeSample()
    const { connections, requests } = this.openCounts()
    const { waitMs } = this.probe
    this.metrics.eventLoopUtilization.set(utilization)
    this.metrics.eventLoopDelay.set(maxDelayMs / 1000)
    this.metrics.listenQueueWait.set(waitMs / 1000)
    this.metrics.connections.set(connections)
    this.#logSaturation(utilization, { maxDelayMs: Math.round(maxDelayMs), listenQueueWaitMs: Math.round(waitMs), accepted: this.#accepted, connections, requests })
    this.#accepted = 0
    this.probe.start()
  }

  #logSaturation (utilization: number, fields: Readonly<Record<string, number>>): void {
    const wasSaturated = this.#isSaturated
    this.#isSaturated = utilization >= SATURATED_UTILIZATION
    if (!this.#isSaturated && !wasSaturated) return
    log.warn(this.#isSaturated ? 'event loop saturated' : 'event loop no longer saturated', { utilization: Number(utilization.toFixed(2)), ...fields })
  }
}

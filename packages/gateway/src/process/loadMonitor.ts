/** Samples the load of the process, reports it each second in its metrics, and logs it while the event loop is saturated. */
import { type Clock, createLog, type EventLoopMonitor, type ListenQueueProbe, type Millis, type Service, type Timer } from '@fuchsiaworks/kernel'
import type { ConnectionDecision } from '@fuchsiaworks/policy'
import type { GatewayMetrics } from '../log/gatewayMetrics.js'

const SAMPLE_INTERVAL_MS: Millis = 500

const SAMPLES_PER_REPORT = 2

const SECOND_MS = 1000

/** Utilization of the event loop from which it counts as saturated. */
const SATURATED_UTILIZATION = 0.95

const log = createLog('load')

/** What the other parts of the process have open. */
export interface OpenCounts {
  /** Connections that this gateway has accepted. */
  readonly connections: number
  /** Those of them that peers serve. */
  readonly offloaded: number
  /** Connections that peers have accepted and this gateway serves. */
  readonly received: number
  /** Requests that have not ended. */
  readonly requests: number
}

/** What has been done with the connections accepted since the last report. */
interface Accepted {
  serve: number
  offload: number
  refuse: number
}

/** Load since the last sample. */
export interface LoadSample {
  readonly listenQueueWaitMs: Millis
  /** Rate at which connections of callers were accepted. */
  readonly acceptedPerSecond: number
}

/** Samples the load until closed. */
export class LoadMonitor implements Service {
  #timer: Timer | undefined
  #isSaturated = false
  #accepted: Accepted = { serve: 0, offload: 0, refuse: 0 }
  #acceptedInSample = 0
  #samples = 0

  /**
   * @param clock - source of time
   * @param metrics - receives the samples
   * @param eventLoop - measures the event loop
   * @param probe - measures the wait in the listen queue of callers
   * @param openCounts - reads what is open
   * @param onSample - called twice a second
   */
  constructor (
    readonly clock: Clock, readonly metrics: GatewayMetrics, readonly eventLoop: EventLoopMonitor, readonly probe: ListenQueueProbe,
    readonly openCounts: () => OpenCounts, readonly onSample: (sample: LoadSample) => void
  ) {}

  start (): void {
    this.#timer = this.clock.every(SAMPLE_INTERVAL_MS, () => { this.#sample() })
  }

  /** Counts an accepted connection of a caller by what is done with it. */
  recordAccepted (decision: ConnectionDecision['kind']): void {
    this.#accepted[decision] += 1
    this.#acceptedInSample += 1
    this.metrics.accepted.inc({ decision })
  }

  close (): void {
    this.#timer?.close()
    this.eventLoop.close()
    this.probe.close()
  }

  #sample (): void {
    this.onSample({ listenQueueWaitMs: this.probe.waitMs, acceptedPerSecond: this.#acceptedInSample * SECOND_MS / SAMPLE_INTERVAL_MS })
    this.#acceptedInSample = 0
    this.#samples += 1
    if (this.#samples % SAMPLES_PER_REPORT === 0) this.#report()
  }

  #report (): void {
    const { utilization, maxDelayMs } = this.eventLoop.takeSample()
    const open = this.openCounts()
    const { waitMs } = this.probe
    this.metrics.eventLoopUtilization.set(utilization)
    this.metrics.eventLoopDelay.set(maxDelayMs / SECOND_MS)
    this.metrics.listenQueueWait.set(waitMs / SECOND_MS)
    this.metrics.connections.set(open.connections)
    this.metrics.offloaded.set(open.offloaded)
    this.metrics.received.set(open.received)
    this.#logSaturation(utilization, { maxDelayMs: Math.round(maxDelayMs), listenQueueWaitMs: Math.round(waitMs), ...this.#accepted, ...open })
    this.#accepted = { serve: 0, offload: 0, refuse: 0 }
    this.probe.start()
  }

  #logSaturation (utilization: number, fields: Readonly<Record<string, number>>): void {
    const wasSaturated = this.#isSaturated
    this.#isSaturated = utilization >= SATURATED_UTILIZATION || (fields['offload'] ?? 0) + (fields['refuse'] ?? 0) > 0
    if (!this.#isSaturated && !wasSaturated) return
    log.warn(this.#isSaturated ? 'event loop saturated' : 'event loop no longer saturated', { utilization: Number(utilization.toFixed(2)), ...fields })
  }
}

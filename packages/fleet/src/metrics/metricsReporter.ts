/** Reports the gauges of a process at a fixed interval. */
import type { Metrics, Service, ServiceKey, Timer } from '@fuchsiaworks/kernel'
import { EventLoopMonitor, serviceKey } from '@fuchsiaworks/kernel'
import type { ConfigurationService } from '../configuration/configurationService.js'
import type { ProcessContext } from '../context/processContext.js'
import type { LinkHub } from '../links/linkHub.js'

const REPORT_INTERVAL_MS = 5_000

/** Reported revision while no configuration is active. */
const NO_REVISION = -1

/** Writes the gauges of one role. */
export type RoleMetricsWriter = (metrics: Metrics) => void

/** Reports the gauges common to both roles and those of the role of this process. */
export class MetricsReporter implements Service {
  readonly #eventLoop: EventLoopMonitor
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, readonly hub: LinkHub, readonly configuration: ConfigurationService, readonly writeRoleMetrics: RoleMetricsWriter) {
    this.#eventLoop = new EventLoopMonitor(context.clock)
  }

  start (): void {
    this.#timer = this.context.clock.every(REPORT_INTERVAL_MS, () => { this.#report() })
  }

  close (): void {
    this.#timer?.close()
    this.#eventLoop.close()
  }

  #report (): void {
    const { metrics } = this.context
    metrics.gauge('revision', this.configuration.current?.revision ?? NO_REVISION)
    metrics.gauge('links.up', [...this.hub.openLinks()].filter(link => link.session.connected).length)
    const { utilization, maxDelayMs } = this.#eventLoop.takeSample()
    metrics.gauge('event_loop.utilization', utilization)
    metrics.gauge('event_loop.delay', maxDelayMs)
    this.writeRoleMetrics(metrics)
  }
}

/** Service key of the metrics reporter. */
export const metricsReporterKey: ServiceKey<MetricsReporter> = serviceKey('metrics-reporter')

/** Writes the gauges of a process at a steady pace. */
import type { Metrics, Service, ServiceKey, Timer } from '@fuchsiaworks/kernel'
import { serviceKey } from '@fuchsiaworks/kernel'
import type { ConfigurationService } from '../configuration/configurationService.js'
import type { ProcessContext } from '../context/processContext.js'
import type { LinkHub } from '../links/linkHub.js'

/** Milliseconds between two reports. */
const PERIOD_MS = 5_000

/** Revision that is told while there is none. */
const NO_REVISION = -1

/** Writes what one role adds to the report. */
export type RoleReport = (metrics: Metrics) => void

/** Reports what both roles have, and what the role adds. */
export class MetricsReporter implements Service {
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, readonly hub: LinkHub, readonly configuration: ConfigurationService, readonly report: RoleReport) {}

  start (): void {
    this.#timer = this.context.clock.every(PERIOD_MS, () => { this.#write() })
  }

  close (): void {
    this.#timer?.close()
  }

  #write (): void {
    const { metrics } = this.context
    metrics.gauge('revision', this.configuration.current?.revision ?? NO_REVISION)
    metrics.gauge('links.up', [...this.hub.openLinks()].filter(link => link.session.connected).length)
    this.report(metrics)
  }
}

/** Key of the reporter. */
export const metricsReporterKey: ServiceKey<MetricsReporter> = serviceKey('metrics-reporter')

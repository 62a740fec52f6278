/** Metrics over StatsD (UDP), sent with hot-shots. Names and tags are documented in docs/METRICS.md. */
import StatsD from 'hot-shots'

/** Tags of a metric; values must come from bounded sets to limit the number of series. */
export type MetricTags = Readonly<Record<string, string>>

/** Metrics client of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count: (name: string, value: number, tags?: MetricTags) => void
  /** Sets a gauge. */
  gauge: (name: string, value: number, tags?: MetricTags) => void
  /** Records a duration in milliseconds. */
  timing: (name: string, value: number, tags?: MetricTags) => void
  /** Flushes buffered metrics and closes the socket. */
  close: () => void
}

/** Address of a StatsD server. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
}

/** No-op metrics, for processes without a StatsD server. */
export const noMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
  close: () => {}
}

/**
 * Creates the metrics client of a process. Send errors are ignored.
 *
 * @param server - the StatsD server; undefined discards all metrics
 * @param globalTags - tags of every metric, for example role and zone
 */
export const createMetrics = (server: MetricsTarget | undefined, globalTags: MetricTags): Metrics => {
  if (server === undefined) return noMetrics
  const client = new StatsD({ ...server, prefix: 'fuchsiaworks.', globalTags, errorHandler: () => {} })
  return {
    count: (name, value, tags) => { client.increment(name, value, tags) },
    gauge: (name, value, tags) => { client.gauge(name, value, tags) },
    timing: (name, value, tags) => { client.timing(name, value, tags) },
    close: () => { client.close(() => {}) }
  }
}

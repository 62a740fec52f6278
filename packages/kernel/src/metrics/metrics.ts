/** Metrics by hot-shots: StatsD over UDP. Names and tags are documented in docs/METRICS.md. */
import StatsD from 'hot-shots'

/** Tags of a metric; values come from bounded sets only. */
export type MetricTags = Readonly<Record<string, string>>

/** Writes the metrics of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count: (name: string, value: number, tags?: MetricTags) => void
  /** Sets a gauge. */
  gauge: (name: string, value: number, tags?: MetricTags) => void
  /** Records a duration in milliseconds. */
  timing: (name: string, value: number, tags?: MetricTags) => void
  /** Sends what is buffered and frees the socket. */
  close: () => void
}

/** Where a StatsD server listens. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
}

/** Metrics that go nowhere, for processes without a StatsD server. */
export const noMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
  close: () => {}
}

/**
 * Opens the metrics of a process.
 *
 * @param target - the StatsD server, or undefined to write nowhere
 * @param globalTags - tags on every metric, as role and zone
 * @returns the writer
 */
export const createMetrics = (target: MetricsTarget | undefined, globalTags: MetricTags): Metrics => {
  if (target === undefined) return noMetrics
  const client = new StatsD({ ...target, prefix: 'fuchsiaworks.', globalTags, errorHandler: () => {} })
  return {
    count: (name, value, tags) => { client.increment(name, value, tags) },
    gauge: (name, value, tags) => { client.gauge(name, value, tags) },
    timing: (name, value, tags) => { client.timing(name, value, tags) },
    close: () => { client.close(() => {}) }
  }
}

/** Parser of the Prometheus text format. */

/** One sample of a metric. */
export interface MetricSample {
  readonly name: string
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

const SAMPLE_PATTERN = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/
const LABEL_PATTERN = /([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"/g

/** Returns the samples of a metrics page. Lines that are not samples are skipped. */
export const parseMetrics = (text: string): MetricSample[] => text.split('\n').flatMap(line => {
  const match = SAMPLE_PATTERN.exec(line)
  const value = Number(match?.[3])
  if (match?.[1] === undefined || Number.isNaN(value)) return []
  const labels = Object.fromEntries([...(match[2] ?? '').matchAll(LABEL_PATTERN)].map(([, name, labelValue]) => [name, labelValue]))
  return [{ name: match[1], labels, value }]
})

/** Reads metrics in the text format of Prometheus. */

/** One sample. */
export interface MetricSample {
  readonly name: string
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

const SAMPLE_PATTERN = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/
const LABEL_PATTERN = /([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"/g

/** @returns the samples of a page; lines that are none are left out */
export const parseMetrics = (text: string): MetricSample[] => text.split('\n').flatMap(line => {
  const match = SAMPLE_PATTERN.exec(line)
  const value = Number(match?.[3])
  if (match?.[1] === undefined || Number.isNaN(value)) return []
  const labels = Object.fromEntries([...(match[2] ?? '').matchAll(LABEL_PATTERN)].map(([, name, label]) => [name, label]))
  return [{ name: match[1], labels, value }]
})

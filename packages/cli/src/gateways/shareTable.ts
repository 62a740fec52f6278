/** Token shares of workspaces as gateways report them in their metrics. */
import { formatTable } from '../io/table.js'
import type { MetricSample } from './metricsText.js'

const HEADER = ['WORKSPACE', 'SHARE', 'USED']

const CAPACITY = 'fuchsiaworks_estimated_capacity_tokens_per_second'
const SHARE = 'fuchsiaworks_share_tokens_per_second'
const SERVED = 'fuchsiaworks_served_tokens_per_second'

/** Formats the smallest and largest value; gateways differ by what they have heard of each other. */
const rangeText = (samples: readonly MetricSample[]): string => {
  const values = samples.map(({ value }) => value)
  const [min, max] = [Math.min(...values), Math.max(...values)]
  if (values.length === 0) return '-'
  return min === max ? String(min) : `${min} to ${max}`
}

/**
 * Formats the estimated capacity and, for each workspace, its share and what it uses, in tokens a second.
 *
 * @param samples - metrics of all gateways
 * @returns lines; none when no workspace has used tokens
 */
export const formatShares = (samples: readonly MetricSample[]): string[] => {
  const workspaces = [...new Set(samples.filter(({ name }) => name === SERVED).map(({ labels }) => labels['workspace'] ?? ''))].sort()
  if (workspaces.length === 0) return []
  const named = (metric: string): MetricSample[] => samples.filter(({ name }) => name === metric)
  const rows = workspaces.map(workspace => [workspace, ...[SHARE, SERVED].map(metric => rangeText(named(metric).filter(({ labels }) => labels['workspace'] === workspace)))])
  return [`estimated capacity in tokens a second: ${rangeText(named(CAPACITY))}`, ...formatTable(HEADER, rows)]
}

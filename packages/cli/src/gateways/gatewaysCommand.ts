/** `fuchsiactl gateways`: prints one line for each gateway and one for each workspace's token share, derived from their metrics. */
import { toError } from '@fuchsiaworks/kernel'
import { request } from 'undici'
import { type CommandIo, EXIT, type ExitCode, UsageError } from '../io/commandIo.js'
import { formatTable } from '../io/table.js'
import { parseMetrics, type MetricSample } from './metricsText.js'
import { formatShares } from './shareTable.js'

/** Timeout for the complete metrics response of a gateway. */
const METRICS_TIMEOUT_MS = 3000

const HEADER = ['GATEWAY', 'REVISION', 'PEERS', 'UPSTREAMS', 'OPEN', 'ANSWERED', 'REFUSED', 'UNKNOWN', 'OTHER']

/** Outcomes with their own column. All others are added up in the column OTHER. */
const NAMED_OUTCOMES = ['answered', 'refused', 'unknown'] as const

const gaugeText = (samples: readonly MetricSample[], name: string): string => String(samples.find(sample => sample.name === `fuchsiaworks_${name}`)?.value ?? '-')

const countRequests = (samples: readonly MetricSample[], isCounted: (outcome: string) => boolean): number =>
  samples.filter(({ name, labels }) => name === 'fuchsiaworks_requests_total' && isCounted(labels['outcome'] ?? ''))
    .reduce((sum, { value }) => sum + value, 0)

const rowOf = (url: string, samples: readonly MetricSample[]): string[] => [
  url,
  gaugeText(samples, 'configuration_revision'),
  gaugeText(samples, 'peers'),
  gaugeText(samples, 'upstreams'),
  gaugeText(samples, 'open_requests'),
  ...NAMED_OUTCOMES.map(named => String(countRequests(samples, outcome => outcome === named))),
  String(countRequests(samples, outcome => !NAMED_OUTCOMES.some(named => named === outcome)))
]

const fetchMetrics = async (url: string): Promise<string> => {
  const { statusCode, body } = await request(url, { signal: AbortSignal.timeout(METRICS_TIMEOUT_MS) })
  const text = await body.text()
  if (statusCode !== 200) throw new Error(`the metrics endpoint returned status ${statusCode}`)
  return text
}

/**
 * Prints the state of gateways.
 *
 * @param io - output streams
 * @param urls - URLs of their metrics
 * @returns `EXIT.usage` if a gateway can't be reached
 */
export const gatewaysCommand = async (io: CommandIo, urls: readonly string[]): Promise<ExitCode> => {
  if (urls.length === 0) throw new UsageError('missing argument METRICS-URL')
  const results = await Promise.all(urls.map(async url => {
    try {
      return { url, samples: parseMetrics(await fetchMetrics(url)) }
    } catch (err) {
      return { url, reason: toError(err).message }
    }
  }))
  const rows = results.flatMap(result => 'samples' in result ? [rowOf(result.url, result.samples)] : [])
  formatTable(HEADER, rows).forEach(io.out)
  const revisions = new Set(rows.map(row => row[1]))
  if (revisions.size > 1) io.out(`the gateways are at different revisions: ${[...revisions].sort().join(', ')}`)
  formatShares(results.flatMap(result => 'samples' in result ? result.samples : [])).forEach(io.out)
  const unreachable = results.flatMap(result => 'reason' in result ? [result] : [])
  for (const { url, reason } of unreachable) io.err(`${url} was not reached: ${reason}`)
  return unreachable.length === 0 ? EXIT.ok : EXIT.usage
}

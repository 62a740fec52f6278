import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))

/** Matches a call that writes a metric with a literal name. */
const METRIC_CALL = /metrics\.(?:count|gauge|timing)\(\s*'([^']+)'/g

const readSources = async (packageName: string): Promise<string[]> => {
  const folder = join(ROOT, 'packages', packageName, 'src')
  const files = (await readdir(folder, { recursive: true })).filter(file => file.endsWith('.ts') && !file.endsWith('.spec.ts'))
  return await Promise.all(files.map(async file => await readFile(join(folder, file), 'utf8')))
}

const readWrittenMetricNames = async (): Promise<string[]> => {
  const sources = await Promise.all((await readdir(join(ROOT, 'packages'))).map(readSources))
  return sources.flat().flatMap(source => [...source.matchAll(METRIC_CALL)].map(match => match[1] ?? ''))
}

/** Reads the metric names in the table of docs/METRICS.md. Skips rows marked "not yet": no process writes these metrics so far. */
const readDocumentedMetricNames = async (): Promise<string[]> => {
  const page = await readFile(join(ROOT, 'docs/METRICS.md'), 'utf8')
  const rows = page.split('\n').filter(line => line.startsWith('| `') && !line.includes(', not yet |'))
  return rows.map(line => line.split('`')[1] ?? '')
}

describe('reference page of metrics', () => {
  it('lists exactly the metrics that processes write, apart from rows marked as not yet written', async () => {
    expect([...new Set(await readWrittenMetricNames())].sort()).toEqual((await readDocumentedMetricNames()).sort())
  })
})

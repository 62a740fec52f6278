import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))

/** A call that writes a metric by a fixed name. */
const METRIC_CALL = /metrics\.(?:count|gauge|timing)\(\s*'([^']+)'/g

const readSources = async (name: string): Promise<string[]> => {
  const folder = join(ROOT, 'packages', name, 'src')
  const files = (await readdir(folder, { recursive: true })).filter(file => file.endsWith('.ts') && !file.endsWith('.spec.ts'))
  return await Promise.all(files.map(async file => await readFile(join(folder, file), 'utf8')))
}

const readWrittenNames = async (): Promise<string[]> => {
  const sources = await Promise.all((await readdir(join(ROOT, 'packages'))).map(readSources))
  return sources.flat().flatMap(source => [...source.matchAll(METRIC_CALL)].map(match => match[1] ?? ''))
}

/** Names in the table of the page whose row does not say that nothing writes them yet. */
const readDocumentedNames = async (): Promise<string[]> => {
  const page = await readFile(join(ROOT, 'docs/METRICS.md'), 'utf8')
  const rows = page.split('\n').filter(line => line.startsWith('| `') && !line.includes(', not yet |'))
  return rows.map(line => line.split('`')[1] ?? '')
}

describe('the page of metrics', () => {
  it('names every metric that a process writes, and marks the rest', async () => {
    expect([...new Set(await readWrittenNames())].sort()).toEqual((await readDocumentedNames()).sort())
  })
})

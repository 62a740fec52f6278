/** Summarizes processor profiles written by `node --cpu-prof`. */
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Millis } from '@fuchsiaworks/kernel'

interface ProfileNode {
  readonly id: number
  readonly callFrame: { readonly functionName: string, readonly url: string, readonly lineNumber: number }
  readonly children?: readonly number[]
}

interface Profile {
  readonly nodes: readonly ProfileNode[]
  readonly samples: readonly number[]
  readonly timeDeltas: readonly number[]
}

const MICROS_PER_MS = 1000

const NAME_OF_MODULE = /(?:node_modules\/((?:@[^/]+\/)?[^/]+)|\/([^/]+\/dist\/.+)|(node:.+))$/

const moduleOf = (url: string): string => {
  const match = NAME_OF_MODULE.exec(url.replace(/(node_modules\/(?:@[^/]+\/)?[^/]+)\/.*/, '$1'))
  return match?.[1] ?? match?.[2] ?? match?.[3] ?? (url === '' ? 'native' : 'other')
}

const addTo = (sums: Map<string, number>, key: string, value: number): void => { sums.set(key, (sums.get(key) ?? 0) + value) }

const largest = (sums: ReadonlyMap<string, number>, total: number, count: number): string[] =>
  [...sums].sort(([, a], [, b]) => b - a).slice(0, count).map(([name, micros]) => `  ${(100 * micros / total).toFixed(1).padStart(5)} %  ${name}`)

/** Time spent, in microseconds. */
class ProfileSums {
  readonly byModule = new Map<string, number>()
  readonly byFunction = new Map<string, number>()
  /** Time in a function and in those that it calls, for functions of this repository. */
  readonly inclusive = new Map<string, number>()
  total = 0

  /** Adds a profile without idle time and without what precedes `skippedMs`, which is the start of the process. */
  add ({ nodes, samples, timeDeltas }: Profile, skippedMs: Millis): void {
    const byId = new Map(nodes.map(node => [node.id, node]))
    const parents = new Map(nodes.flatMap(({ id, children }) => (children ?? []).map(child => [child, id] as const)))
    let elapsed = 0
    for (const [at, sample] of samples.entries()) {
      const micros = timeDeltas[at] ?? 0
      elapsed += micros
      const frame = byId.get(sample)?.callFrame
      if (frame === undefined || frame.functionName === '(idle)' || elapsed < skippedMs * MICROS_PER_MS) continue
      const module = frame.url === '' ? frame.functionName : moduleOf(frame.url)
      this.total += micros
      addTo(this.byModule, module, micros)
      addTo(this.byFunction, `${frame.functionName === '' ? '(anonymous)' : frame.functionName} ${module}:${frame.lineNumber + 1}`, micros)
      this.#addInclusive(sample, micros, byId, parents)
    }
  }

  #addInclusive (sample: number, micros: number, byId: ReadonlyMap<number, ProfileNode>, parents: ReadonlyMap<number, number>): void {
    const seen = new Set<string>()
    for (let id: number | undefined = sample; id !== undefined; id = parents.get(id)) {
      const frame = byId.get(id)?.callFrame
      if (frame?.url.includes('/dist/') !== true || frame.url.includes('node_modules/')) continue
      seen.add(`${frame.functionName === '' ? '(anonymous)' : frame.functionName} ${moduleOf(frame.url)}:${frame.lineNumber + 1}`)
    }
    for (const name of seen) addTo(this.inclusive, name, micros)
  }
}

/**
 * Summarizes the profiles of a folder.
 *
 * @param skippedMs - time after the start of each process that does not count
 * @returns lines with the modules and functions that took the most time
 */
export const summarizeProfiles = (folder: string, skippedMs: Millis, count = 40): string[] => {
  const sums = new ProfileSums()
  for (const name of readdirSync(folder).filter(file => file.endsWith('.cpuprofile'))) sums.add(JSON.parse(readFileSync(join(folder, name), 'utf8')) as Profile, skippedMs)
  const { byModule, byFunction, inclusive, total } = sums
  return ['own time by module', ...largest(byModule, total, count), 'own time by function', ...largest(byFunction, total, count), 'time including called functions, of this repository', ...largest(inclusive, total, count)]
}

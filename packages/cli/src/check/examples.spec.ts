import { createHash } from 'node:crypto'
import { readdir } from 'node:fs/promises'
import { basename, join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { asId, type ServiceId, type SiteId } from '@fuchsiaworks/kernel'
import { type FleetConfig, parseConfig } from '@fuchsiaworks/settings'
import { expect } from 'earl'
import { EXIT, readTextFile } from '../io/commandIo.js'
import { checkCommand } from './checkCommand.js'

const EXAMPLES = fileURLToPath(new URL('../../../../examples/', import.meta.url))

const overlaysOf = async (name: string): Promise<string[]> => {
  const folder = join(EXAMPLES, name, 'sites')
  return (await readdir(folder)).map(file => join(folder, file))
}

const checkExample = async (name: string): Promise<string[]> => {
  const lines: string[] = []
  const io = { out: (text: string) => { lines.push(text) }, err: (text: string) => { lines.push(text) } }
  expect(await checkCommand(io, join(EXAMPLES, name, 'base.jsonc'), await overlaysOf(name))).toEqual(EXIT.ok)
  return lines
}

const readExample = async (name: string): Promise<FleetConfig> =>
  parseConfig(await readTextFile(join(EXAMPLES, name, 'base.jsonc')), undefined)

const countUpstreams = (config: FleetConfig, service: string): number =>
  Object.values(config.upstreams).filter(upstream => upstream.service === service).length

describe('the example deployments', () => {
  it('have no findings', async () => {
    expect(await checkExample('prairie')).toEqual(['no findings'])
    expect(await checkExample('moreton')).toEqual(['no findings'])
  })

  it('have one overlay for each site, with the id of the site as file name', async () => {
    for (const name of ['prairie', 'moreton']) {
      const sites = Object.keys((await readExample(name)).sites)
      expect((await overlaysOf(name)).map(file => asId<SiteId>(basename(file, '.jsonc'))).sort()).toEqual(sites.map(site => asId<SiteId>(site)).sort())
    }
  })

  it('have the expected sizes and the expected paths that are not idempotent', async () => {
    const [prairie, moreton] = [await readExample('prairie'), await readExample('moreton')]
    const sizes = [prairie, moreton].map(({ zones, workspaces }) => [Object.keys(zones).length, Object.keys(workspaces).length])
    expect(sizes).toEqual([[4, 16], [3, 16]])
    expect([countUpstreams(prairie, 'scribe'), countUpstreams(prairie, 'ledger')]).toEqual([6, 4])
    expect([countUpstreams(moreton, 'review-models'), countUpstreams(moreton, 'mod-desk')]).toEqual([6, 3])
    expect(prairie.services[asId<ServiceId>('ledger')]?.notIdempotentPaths).toEqual(['/contributions/postings'])
    expect(moreton.services[asId<ServiceId>('mod-desk')]?.notIdempotentPaths).toEqual(['/strikes/notices', '/removals'])
  })

  it('have the caller keys that are documented in their first lines', async () => {
    for (const config of [await readExample('prairie'), await readExample('moreton')]) {
      const keys = Object.keys(config.workspaces).map(id => createHash('sha256').update(`example-key-${id}`).digest('hex'))
      expect(Object.values(config.workspaces).flatMap(workspace => workspace.keys)).toEqual(keys)
    }
  })
})

/** Measures how the cost of one revision of the shared configuration grows with the numbers of upstreams and of sites. */
import { createHash } from 'node:crypto'
import { asId, type SiteId } from '@fuchsiaworks/kernel'
import { type ConfigDocuments, configForSite, encodeDocuments, parseDocuments } from '@fuchsiaworks/settings'
import { measureHeapKib, measureCpuMicros, type Slope, measureSlope } from './slopes.js'

const UPSTREAMS = [420, 1_400, 4_200] as const
const SITES = [1, 3, 7] as const
const SERVICES = 17
const ZONES = 23
const WORKSPACES = 280

/** Number of workspaces that each overlay changes. */
const OVERLAID_WORKSPACES = 28

/** Number of upstreams while the number of sites varies. */
const FIXED_UPSTREAMS = 420

const createMap = (count: number, name: string, entry: (index: number) => unknown): Record<string, unknown> =>
  Object.fromEntries(Array.from({ length: count }, (_, index) => [`${name}-${index}`, entry(index)]))

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex')

/**
 * Creates configuration documents with the numbers of zones, services and workspaces that are expected in two years.
 *
 * @param upstreams - number of upstreams
 * @param sites - number of sites, each with an overlay
 * @returns the documents
 */
const createDocuments = (upstreams: number, sites: number): ConfigDocuments => {
  const base = {
    zones: createMap(ZONES, 'zone', index => ({ region: `region-${index % 7}` })),
    sites: createMap(sites, 'site', index => ({ zones: Array.from({ length: ZONES }, (_, zone) => zone).filter(zone => zone % sites === index).map(zone => `zone-${zone}`) })),
    services: createMap(SERVICES, 'service', () => ({ kind: 'engine', maxConcurrency: 48 })),
    upstreams: createMap(upstreams, 'upstream', index => ({ service: `service-${index % SERVICES}`, zone: `zone-${index % ZONES}`, host: `upstream-${index}.zone-${index % ZONES}` })),
    workspaces: createMap(WORKSPACES, 'workspace', index => ({ weight: 1 + index % 6, keys: [digestOf(`${index}`)] }))
  }
  const workspaceOverrides = createMap(OVERLAID_WORKSPACES, 'workspace', () => ({ patience: { defaultMs: 20_000 } }))
  const overlays = Object.fromEntries(Array.from({ length: sites }, (_, index) => [`site-${index}`, JSON.stringify({ workspaces: workspaceOverrides })]))
  return { revision: 1, base: JSON.stringify(base), overlays }
}

const site = asId<SiteId>('site-0')

const parseMicros = (documents: ConfigDocuments): number => {
  const text = encodeDocuments(documents)
  return measureCpuMicros(() => { configForSite(parseDocuments({ name: 'revision', text }), site) })
}

/** @returns slopes of the cost of one revision */
export const measureConfigSlopes = (): Slope[] => [
  measureSlope({ name: 'configuration: read and check, 7 sites', unit: 'us', against: 'upstreams' }, UPSTREAMS, size => parseMicros(createDocuments(size, 7))),
  measureSlope({ name: `configuration: read and check, ${FIXED_UPSTREAMS} upstreams`, unit: 'us', against: 'sites' }, SITES, size => parseMicros(createDocuments(FIXED_UPSTREAMS, size))),
  measureSlope({ name: 'configuration: text of the set', unit: 'bytes', against: 'upstreams' }, UPSTREAMS, size => encodeDocuments(createDocuments(size, 7)).length),
  measureSlope({ name: 'configuration: heap', unit: 'KiB', against: 'upstreams' }, UPSTREAMS, size => measureHeapKib(() => configForSite(createDocuments(size, 7), site)))
]

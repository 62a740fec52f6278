/** What one revision of the shared configuration costs against upstreams and sites. */
import { createHash } from 'node:crypto'
import { asId, type SiteId } from '@fuchsiaworks/kernel'
import { type ConfigDocuments, configForSite, encodeDocuments, parseDocuments } from '@fuchsiaworks/settings'
import { heapOf, microsOf, type Slope, slopeOf } from './slopes.js'

const UPSTREAMS = [420, 1_400, 4_200] as const
const SITES = [1, 3, 7] as const
const SERVICES = 17
const ZONES = 23
const WORKSPACES = 280

/** Workspaces that an overlay changes. */
const LOCAL_WORKSPACES = 28

/** Upstreams while sites vary. */
const FEW_UPSTREAMS = 420

const mapOf = (count: number, name: string, entry: (index: number) => unknown): Record<string, unknown> =>
  Object.fromEntries(Array.from({ length: count }, (_, index) => [`${name}-${index}`, entry(index)]))

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex')

/**
 * Writes a document set of the two-year shape.
 *
 * @param upstreams - number of upstreams
 * @param sites - number of sites with an overlay
 * @returns the set
 */
const documentsOf = (upstreams: number, sites: number): ConfigDocuments => {
  const base = {
    zones: mapOf(ZONES, 'zone', index => ({ region: `region-${index % 7}` })),
    sites: mapOf(sites, 'site', index => ({ zones: Array.from({ length: ZONES }, (_, zone) => zone).filter(zone => zone % sites === index).map(zone => `zone-${zone}`) })),
    services: mapOf(SERVICES, 'service', () => ({ kind: 'engine', maxConcurrency: 48 })),
    upstreams: mapOf(upstreams, 'upstream', index => ({ service: `service-${index % SERVICES}`, zone: `zone-${index % ZONES}`, host: `upstream-${index}.zone-${index % ZONES}` })),
    workspaces: mapOf(WORKSPACES, 'workspace', index => ({ weight: 1 + index % 6, keys: [digestOf(`${index}`)] }))
  }
  const patiences = mapOf(LOCAL_WORKSPACES, 'workspace', () => ({ patience: { defaultMs: 20_000 } }))
  const overlays = Object.fromEntries(Array.from({ length: sites }, (_, index) => [`site-${index}`, JSON.stringify({ workspaces: patiences })]))
  return { revision: 1, base: JSON.stringify(base), overlays }
}

const site = asId<SiteId>('site-0')

const takeMicros = (documents: ConfigDocuments): number => {
  const text = encodeDocuments(documents)
  return microsOf(() => { configForSite(parseDocuments({ name: 'revision', text }), site) })
}

/** @returns slopes of one revision */
export const configSlopes = (): Slope[] => [
  slopeOf({ name: 'configuration: read and check, 7 sites', unit: 'us', against: 'upstreams' }, UPSTREAMS, size => takeMicros(documentsOf(size, 7))),
  slopeOf({ name: `configuration: read and check, ${FEW_UPSTREAMS} upstreams`, unit: 'us', against: 'sites' }, SITES, size => takeMicros(documentsOf(FEW_UPSTREAMS, size))),
  slopeOf({ name: 'configuration: text of the set', unit: 'bytes', against: 'upstreams' }, UPSTREAMS, size => encodeDocuments(documentsOf(size, 7)).length),
  slopeOf({ name: 'configuration: heap', unit: 'KiB', against: 'upstreams' }, UPSTREAMS, size => heapOf(() => configForSite(documentsOf(size, 7), site)))
]

/** Document sets: the configuration as the platform publishes it and processes relay it to their peers. */
import { asId, type Finding, FindingsError, type SiteId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { checkSchema } from '../document/checkSchema.js'
import type { NamedText } from '../document/documentTypes.js'
import { hasErrors, sortUniqueFindings, valueOrThrow } from '../document/findingLists.js'
import { readDocument } from '../document/readDocument.js'
import { idSchema, wholeNumber } from '../document/scalars.js'
import { createSiteCheck } from './checkConfig.js'
import type { CheckedConfig, ConfigDocuments, FleetConfig } from './fleetConfigTypes.js'

/** Name of the base document in findings. */
const BASE_NAME = 'base'

/** Unknown keys are ignored, so that a publisher can add keys before every process supports them. */
const documentsSchema = z.object({
  revision: wholeNumber('revisions', 0, Number.MAX_SAFE_INTEGER),
  base: z.string({ error: 'expected the text of the base file' }),
  overlays: z.record(idSchema<SiteId>(), z.string({ error: 'expected the text of an overlay' }))
})

const overlayOf = ({ overlays }: ConfigDocuments, site: SiteId): NamedText | undefined => {
  const text = Object.hasOwn(overlays, site) ? overlays[site] : undefined
  return text === undefined ? undefined : { name: `overlay ${site}`, text }
}

/**
 * Serializes a document set to JSON.
 *
 * @param documents - the document set
 */
export const encodeDocuments = (documents: ConfigDocuments): string => JSON.stringify(documents)

/**
 * Parses JSON without places. Document sets are large and nearly always valid, so this fast parser is tried first; the
 * parser that yields findings is used only if it fails.
 */
const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Parses a document set. The documents in the set are not validated.
 *
 * @param source - the text and its name
 * @throws FindingsError if the text is not a document set
 */
export const parseDocuments = (source: NamedText): ConfigDocuments => {
  const parsed = documentsSchema.safeParse(parseJson(source.text))
  if (parsed.success) return parsed.data
  const { root, findings } = readDocument(source)
  if (root === undefined || findings.length > 0) throw new FindingsError(findings)
  const checked = checkSchema(documentsSchema, root)
  return valueOrThrow(checked.value, checked.findings)
}

/** Check results of a document set: of the base with each overlay, and of the base alone for sites without an overlay. */
interface CheckedDocuments {
  readonly resultsBySite: ReadonlyMap<string, CheckedConfig>
  readonly baseResult: CheckedConfig
  readonly findings: readonly Finding[]
}

/** Reports overlays of unknown sites: an overlay applies only to its own site, so these would never take effect. */
const checkSiteIds = (sites: readonly SiteId[], config: FleetConfig | undefined): Finding[] => {
  if (config === undefined) return []
  return sites
    .filter(id => config.sites[id] === undefined)
    .map(id => ({ severity: 'error', place: { file: `overlay ${id}`, line: 1, column: 1 }, path: '', message: `unknown site "${id}"` }))
}

const checkDocumentSet = (documents: ConfigDocuments): CheckedDocuments => {
  const check = createSiteCheck({ name: BASE_NAME, text: documents.base })
  const sites = Object.keys(documents.overlays).map(id => asId<SiteId>(id))
  const baseResult = check(undefined)
  const resultsBySite = new Map(sites.map(site => [site, check(overlayOf(documents, site))]))
  const findings = [...resultsBySite.values()].flatMap(checked => checked.findings)
  return { resultsBySite, baseResult, findings: sortUniqueFindings([...baseResult.findings, ...findings, ...checkSiteIds(sites, baseResult.config)]) }
}

/**
 * Validates every document of a set.
 *
 * @param documents - the document set
 * @returns the findings of the base alone and with each overlay
 */
export const checkDocuments = (documents: ConfigDocuments): readonly Finding[] => checkDocumentSet(documents).findings

/**
 * Returns the effective configuration of one site.
 *
 * @param documents - the document set
 * @param site - the site; a site without an overlay uses the base
 * @throws FindingsError if any document of the set has an error, including the overlays of other sites
 */
export const configForSite = (documents: ConfigDocuments, site: SiteId): FleetConfig => {
  const { resultsBySite, baseResult, findings } = checkDocumentSet(documents)
  const { config } = resultsBySite.get(site) ?? baseResult
  return valueOrThrow(hasErrors(findings) ? undefined : config, findings)
}

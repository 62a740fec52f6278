/** The document set that the platform publishes and that processes hand on to each other. */
import { asId, type Finding, FindingsError, type SiteId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { checkSchema } from '../document/checkSchema.js'
import type { NamedText } from '../document/documentTypes.js'
import { hasErrors, sortUniqueFindings, valueOrThrow } from '../document/findingLists.js'
import { readDocument } from '../document/readDocument.js'
import { idSchema, wholeNumber } from '../document/scalars.js'
import { createSiteCheck } from './checkConfig.js'
import type { CheckedConfig, ConfigDocuments, FleetConfig } from './fleetConfigTypes.js'

/** Name of the base file in findings. */
const BASE_NAME = 'base'

/** Unknown keys are let through, so that a publisher may add some before every process knows them. */
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
 * Writes a document set as text.
 *
 * @param documents - the set
 * @returns JSON
 */
export const encodeDocuments = (documents: ConfigDocuments): string => JSON.stringify(documents)

/** A set is large and nearly always whole, so the fast parser goes first; the other one is for the findings. */
const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Reads a document set. What stands in its documents is not checked.
 *
 * @param source - the text and the name to report
 * @returns the set
 * @throws FindingsError when the text is no document set
 */
export const parseDocuments = (source: NamedText): ConfigDocuments => {
  const parsed = documentsSchema.safeParse(parseJson(source.text))
  if (parsed.success) return parsed.data
  const { root, findings } = readDocument(source)
  if (root === undefined || findings.length > 0) throw new FindingsError(findings)
  const checked = checkSchema(documentsSchema, root)
  return valueOrThrow(checked.value, checked.findings)
}

/** The checks of a set: of each overlay, and of the base alone for sites without one. */
interface CheckedDocuments {
  readonly resultsBySite: ReadonlyMap<string, CheckedConfig>
  readonly alone: CheckedConfig
  readonly findings: readonly Finding[]
}

/** An overlay is used only by its own site, so one that names no site would never take effect. */
const checkSiteIds = (sites: readonly SiteId[], config: FleetConfig | undefined): Finding[] => {
  if (config === undefined) return []
  return sites
    .filter(id => config.sites[id] === undefined)
    .map(id => ({ severity: 'error', place: { file: `overlay ${id}`, line: 1, column: 1 }, path: '', message: `unknown site "${id}"` }))
}

const checkDocumentSet = (documents: ConfigDocuments): CheckedDocuments => {
  const check = createSiteCheck({ name: BASE_NAME, text: documents.base })
  const sites = Object.keys(documents.overlays).map(id => asId<SiteId>(id))
  const alone = check(undefined)
  const resultsBySite = new Map(sites.map(site => [site, check(overlayOf(documents, site))]))
  const findings = [...resultsBySite.values()].flatMap(checked => checked.findings)
  return { resultsBySite, alone, findings: sortUniqueFindings([...alone.findings, ...findings, ...checkSiteIds(sites, alone.config)]) }
}

/**
 * Checks every document of a set.
 *
 * @param documents - the set
 * @returns the findings of the base alone and with each overlay
 */
export const checkDocuments = (documents: ConfigDocuments): readonly Finding[] => checkDocumentSet(documents).findings

/**
 * Reads the configuration of one site from a set.
 *
 * @param documents - the set
 * @param site - the site; one without an overlay gets the base
 * @returns the effective configuration
 * @throws FindingsError when any document of the set, also another site's, has an error
 */
export const configForSite = (documents: ConfigDocuments, site: SiteId): FleetConfig => {
  const { resultsBySite, alone, findings } = checkDocumentSet(documents)
  const { config } = resultsBySite.get(site) ?? alone
  return valueOrThrow(hasErrors(findings) ? undefined : config, findings)
}

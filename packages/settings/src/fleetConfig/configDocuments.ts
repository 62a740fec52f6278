/** The document set that the platform publishes and that processes hand on to each other. */
import { asId, type Finding, FindingsError, type SiteId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { checkSchema } from '../document/checkSchema.js'
import type { NamedText } from '../document/documentTypes.js'
import { tidyFindings, valueOrThrow } from '../document/findingLists.js'
import { readDocument } from '../document/readDocument.js'
import { idSchema, wholeNumber } from '../document/scalars.js'
import { checkSite } from './checkConfig.js'
import type { ConfigDocuments, FleetConfig } from './fleetConfigTypes.js'

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

const baseOf = (documents: ConfigDocuments): NamedText => ({ name: BASE_NAME, text: documents.base })

/**
 * Writes a document set as text.
 *
 * @param documents - the set
 * @returns JSON
 */
export const encodeDocuments = (documents: ConfigDocuments): string => JSON.stringify(documents)

/**
 * Reads a document set. What stands in its documents is not checked.
 *
 * @param source - the text and the name to report
 * @returns the set
 * @throws FindingsError when the text is no document set
 */
export const parseDocuments = (source: NamedText): ConfigDocuments => {
  const { root, findings } = readDocument(source)
  if (root === undefined || findings.length > 0) throw new FindingsError(findings)
  const checked = checkSchema(documentsSchema, root)
  return valueOrThrow(checked.value, checked.findings)
}

/** An overlay is used only by its own site, so one that names no site would never take effect. */
const checkSiteIds = (documents: ConfigDocuments, config: FleetConfig | undefined): Finding[] => {
  if (config === undefined) return []
  return Object.keys(documents.overlays)
    .filter(id => config.sites[asId<SiteId>(id)] === undefined)
    .map(id => ({ severity: 'error', place: { file: `overlay ${id}`, line: 1, column: 1 }, path: '', message: `unknown site "${id}"` }))
}

/**
 * Checks every document of a set.
 *
 * @param documents - the set
 * @returns the findings of the base with each overlay
 */
export const checkDocuments = (documents: ConfigDocuments): Finding[] => {
  const sites = Object.keys(documents.overlays).map(id => asId<SiteId>(id))
  const alone = checkSite(baseOf(documents), undefined)
  if (sites.length === 0) return [...alone.findings]
  const checked = sites.map(site => checkSite(baseOf(documents), overlayOf(documents, site)))
  const unknown = checkSiteIds(documents, checked.find(result => result.config !== undefined)?.config)
  return tidyFindings([...checked.flatMap(result => result.findings), ...unknown])
}

/**
 * Reads the configuration of one site from a set.
 *
 * @param documents - the set
 * @param site - the site; one without an overlay gets the base
 * @returns the effective configuration
 * @throws FindingsError when any document of the set, also another site's, has an error
 */
export const configForSite = (documents: ConfigDocuments, site: SiteId): FleetConfig => {
  const { config, findings } = checkSite(baseOf(documents), overlayOf(documents, site))
  const all = checkDocuments(documents)
  if (all.some(finding => finding.severity === 'error')) throw new FindingsError(all)
  return valueOrThrow(config, findings)
}

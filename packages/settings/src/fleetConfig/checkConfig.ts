/** Validates a base file with overlays and returns the effective configuration. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'
import type { LocatedNode, NamedText } from '../document/documentTypes.js'
import { hasErrors, sortUniqueFindings, valueOrThrow } from '../document/findingLists.js'
import { mergeDocuments } from '../document/mergeDocuments.js'
import { leavesOf } from '../document/nodes.js'
import { readDocument } from '../document/readDocument.js'
import { configSchema, sectionSchemas } from './configSchema.js'
import type { CheckedConfig, FleetConfig } from './fleetConfigTypes.js'
import { checkOverlay } from './overlayChecks.js'
import { createReferenceCheck, type ReferenceCheck } from './referenceChecks.js'
import { SectionChecker } from './sectionChecker.js'

/** Checks a base file with one overlay, or alone. */
export type SiteCheck = (overlay: NamedText | undefined) => CheckedConfig

const originsOf = (root: LocatedNode): ReadonlyMap<string, SourceLocation> =>
  new Map(leavesOf(root).map(({ path, node }) => [path.join('.'), node.place]))

/** The checkers of one base file. They cache the results of parts that overlays do not change. */
interface ConfigCheckers {
  readonly sections: SectionChecker
  readonly references: ReferenceCheck
}

const checkMerged = (checkers: ConfigCheckers, root: LocatedNode, earlierFindings: readonly Finding[]): CheckedConfig => {
  const { value, findings } = checkers.sections.check(root)
  const allFindings = sortUniqueFindings([...earlierFindings, ...findings, ...checkers.references(root)])
  return {
    config: hasErrors(allFindings) ? undefined : value,
    findings: allFindings,
    origins: () => originsOf(root)
  }
}

/**
 * Creates a check that parses the base file once and can be called for each of its overlays.
 *
 * @param base - the base file
 */
export const createSiteCheck = (base: NamedText): SiteCheck => {
  const { root: baseRoot, findings: baseFindings } = readDocument(base)
  const checkers = { sections: new SectionChecker(), references: createReferenceCheck() }
  return overlay => {
    const overlayDocument = overlay && readDocument(overlay)
    const findings = [...baseFindings, ...overlayDocument?.findings ?? []]
    if (baseRoot === undefined) return { config: undefined, findings: sortUniqueFindings(findings), origins: () => new Map() }
    if (overlayDocument?.root === undefined) return checkMerged(checkers, baseRoot, findings)
    const merged = overlayDocument.root.kind === 'object' ? mergeDocuments(baseRoot, overlayDocument.root) : baseRoot
    return checkMerged(checkers, merged, [...findings, ...checkOverlay(baseRoot, overlayDocument.root)])
  }
}

/**
 * Checks a base file with one overlay.
 *
 * @param base - the base file
 * @param overlay - the overlay of a site, if any
 * @returns the effective configuration if no finding is an error, all findings, and the place where each value was set
 */
export const checkSite = (base: NamedText, overlay: NamedText | undefined): CheckedConfig =>
  createSiteCheck(base)(overlay)

/**
 * Checks a base file alone and with each overlay. The base must be valid alone, because sites without an overlay use it.
 *
 * @param base - the base file
 * @param overlays - overlays of sites
 * @returns the configuration and origins with the first overlay, or of the base if there are no overlays; and the
 *   findings of all checks without duplicates
 */
export const checkConfig = (base: NamedText, overlays: readonly NamedText[]): CheckedConfig => {
  const check = createSiteCheck(base)
  const baseResult = check(undefined)
  const overlayResults = overlays.map(check)
  const findings = sortUniqueFindings([baseResult, ...overlayResults].flatMap(checked => checked.findings))
  return { ...overlayResults[0] ?? baseResult, findings }
}

/**
 * Returns the effective configuration.
 *
 * @param base - the base file
 * @param overlay - the overlay of a site, if any
 * @throws FindingsError if any finding is an error
 */
export const parseConfig = (base: NamedText, overlay: NamedText | undefined): FleetConfig => {
  const { config, findings } = checkSite(base, overlay)
  return valueOrThrow(config, findings)
}

const emptySections = (): Record<string, object> =>
  Object.fromEntries(Object.keys(sectionSchemas).map(name => [name, Object.create(null) as object]))

/** The configuration in which every key has its default. */
export const defaultFleetConfig: FleetConfig = { ...configSchema.parse({}), ...emptySections() }

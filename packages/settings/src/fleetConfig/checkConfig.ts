/** Reads a base file with overlays into the effective configuration. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'
import type { LocatedNode, NamedText } from '../document/documentTypes.js'
import { hasErrors, tidyFindings, valueOrThrow } from '../document/findingLists.js'
import { mergeDocuments } from '../document/mergeDocuments.js'
import { leavesOf } from '../document/nodes.js'
import { readDocument } from '../document/readDocument.js'
import { configSchema, sectionSchemas } from './configSchema.js'
import type { CheckedConfig, FleetConfig } from './fleetConfigTypes.js'
import { checkOverlay } from './overlayChecks.js'
import { createReferenceCheck, type ReferenceCheck } from './referenceChecks.js'
import { SectionChecker } from './sectionChecker.js'

/** Checks one base file with any of its overlays. */
export type SiteCheck = (overlay: NamedText | undefined) => CheckedConfig

const originsOf = (root: LocatedNode): ReadonlyMap<string, SourceLocation> =>
  new Map(leavesOf(root).map(({ path, node }) => [path.join('.'), node.place]))

/** The checks of one base file; they remember what its overlays leave alone. */
interface BaseChecks {
  readonly sections: SectionChecker
  readonly references: ReferenceCheck
}

const checkMerged = (checks: BaseChecks, root: LocatedNode, earlier: readonly Finding[]): CheckedConfig => {
  const { value, findings } = checks.sections.check(root)
  const all = tidyFindings([...earlier, ...findings, ...checks.references(root)])
  return {
    config: hasErrors(all) ? undefined : value,
    findings: all,
    origins: () => originsOf(root)
  }
}

/**
 * Reads a base file once for checks with several overlays.
 *
 * @param base - the base file
 * @returns the check
 */
export const createSiteCheck = (base: NamedText): SiteCheck => {
  const { root: baseRoot, findings: baseFindings } = readDocument(base)
  const checks = { sections: new SectionChecker(), references: createReferenceCheck() }
  return overlay => {
    const read = overlay && readDocument(overlay)
    const findings = [...baseFindings, ...read?.findings ?? []]
    if (baseRoot === undefined) return { config: undefined, findings: tidyFindings(findings), origins: () => new Map() }
    if (read?.root === undefined) return checkMerged(checks, baseRoot, findings)
    const merged = read.root.kind === 'object' ? mergeDocuments(baseRoot, read.root) : baseRoot
    return checkMerged(checks, merged, [...findings, ...checkOverlay(baseRoot, read.root)])
  }
}

/**
 * Checks a base file with one overlay.
 *
 * @param base - the base file
 * @param overlay - the overlay of a site, if any
 * @returns the configuration when no finding is an error, every finding, and where each value was set
 */
export const checkSite = (base: NamedText, overlay: NamedText | undefined): CheckedConfig =>
  createSiteCheck(base)(overlay)

/**
 * Checks a base file alone and with each of several overlays. The base has to be valid alone, for sites without an overlay.
 *
 * @param base - the base file
 * @param overlays - overlays of sites
 * @returns the configuration and origins of the first overlay or else of the base, and the findings of all, each once
 */
export const checkConfig = (base: NamedText, overlays: readonly NamedText[]): CheckedConfig => {
  const check = createSiteCheck(base)
  const alone = check(undefined)
  const sites = overlays.map(check)
  const findings = tidyFindings([alone, ...sites].flatMap(checked => checked.findings))
  return { ...sites[0] ?? alone, findings }
}

/**
 * Reads the effective configuration.
 *
 * @param base - the base file
 * @param overlay - the overlay of a site, if any
 * @returns the configuration
 * @throws FindingsError when any finding is an error
 */
export const parseConfig = (base: NamedText, overlay: NamedText | undefined): FleetConfig => {
  const { config, findings } = checkSite(base, overlay)
  return valueOrThrow(config, findings)
}

const emptySections = (): Record<string, object> =>
  Object.fromEntries(Object.keys(sectionSchemas).map(name => [name, Object.create(null) as object]))

/** The configuration in which nothing is set. */
export const defaultFleetConfig: FleetConfig = { ...configSchema.parse({}), ...emptySections() }

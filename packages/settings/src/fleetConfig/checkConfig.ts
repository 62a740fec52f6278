/** Reads a base file with overlays into the effective configuration. */
import type { Finding, Place } from '@fuchsiaworks/kernel'
import type { LocatedNode, NamedText, ReadResult } from '../document/documentTypes.js'
import { checkSchema } from '../document/checkSchema.js'
import { hasErrors, tidyFindings, valueOrThrow } from '../document/findingLists.js'
import { mergeDocuments } from '../document/mergeDocuments.js'
import { leavesOf } from '../document/nodes.js'
import { readDocument } from '../document/readDocument.js'
import { configSchema } from './configSchema.js'
import type { CheckedConfig, FleetConfig } from './fleetConfigTypes.js'
import { checkOverlay } from './overlayChecks.js'
import { checkReferences } from './referenceChecks.js'

/** Sections whose keys are ids that callers can name. */
const ID_SECTIONS = ['zones', 'services', 'upstreams', 'workspaces', 'sites'] as const

/** Without a prototype, so that an id such as `constructor` finds nothing unless it was configured. */
const withoutPrototype = <T extends object>(record: T): T => Object.assign(Object.create(null), record)

const guardSections = (config: FleetConfig): FleetConfig =>
  Object.assign(config, Object.fromEntries(ID_SECTIONS.map(section => [section, withoutPrototype(config[section])])))

const originsOf = (root: LocatedNode): ReadonlyMap<string, Place> =>
  new Map(leavesOf(root).map(({ path, node }) => [path.join('.'), node.place]))

const checkMerged = (root: LocatedNode, earlier: readonly Finding[]): CheckedConfig => {
  const { value, findings } = checkSchema(configSchema, root)
  const all = tidyFindings([...earlier, ...findings, ...checkReferences(root)])
  const config = value === undefined || hasErrors(all) ? undefined : guardSections(value)
  return { config, findings: all, origins: originsOf(root) }
}

const checkRead = (base: ReadResult, overlay: ReadResult | undefined): CheckedConfig => {
  const findings = [...base.findings, ...overlay?.findings ?? []]
  if (base.root === undefined) return { config: undefined, findings: tidyFindings(findings), origins: new Map() }
  if (overlay?.root === undefined) return checkMerged(base.root, findings)
  const overlayFindings = checkOverlay(base.root, overlay.root)
  const merged = overlay.root.kind === 'object' ? mergeDocuments(base.root, overlay.root) : base.root
  return checkMerged(merged, [...findings, ...overlayFindings])
}

/**
 * Checks a base file with one overlay.
 *
 * @param base - the base file
 * @param overlay - the overlay of a site, if any
 * @returns the configuration when no finding is an error, every finding, and where each value was set
 */
export const checkSite = (base: NamedText, overlay: NamedText | undefined): CheckedConfig =>
  checkRead(readDocument(base), overlay && readDocument(overlay))

/**
 * Checks a base file with each of several overlays.
 *
 * @param base - the base file
 * @param overlays - overlays of sites; with none the base is checked alone
 * @returns the configuration and origins of the first overlay, and the findings of all, each once
 */
export const checkConfig = (base: NamedText, overlays: readonly NamedText[]): CheckedConfig => {
  const first = checkSite(base, overlays[0])
  const rest = overlays.slice(1).map(overlay => checkSite(base, overlay))
  return { ...first, findings: tidyFindings([first, ...rest].flatMap(checked => checked.findings)) }
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

/** The configuration in which nothing is set. */
export const defaultFleetConfig: FleetConfig = guardSections(configSchema.parse({}))

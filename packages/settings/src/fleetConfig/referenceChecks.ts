/**
 * Checks that the sections of a configuration are consistent with each other. Works on the document tree, so that it
 * reports its findings even if the document does not match the schema.
 */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'
import type { LocatedNode, Member, NodePath } from '../document/documentTypes.js'
import { findNode } from '../document/nodes.js'

const createError = (place: SourceLocation, path: NodePath, message: string): Finding =>
  ({ severity: 'error', place, path: path.join('.'), message })

const NO_MEMBERS: ReadonlyMap<string, Member> = new Map()

const membersOf = (node: LocatedNode | undefined): ReadonlyMap<string, Member> =>
  node?.kind === 'object' ? node.members : NO_MEMBERS

const childOf = (node: LocatedNode | undefined, key: string): LocatedNode | undefined => membersOf(node).get(key)?.value

const sectionOf = (root: LocatedNode, name: string): ReadonlyMap<string, Member> => membersOf(childOf(root, name))

/** A string value with its path and place. */
interface LocatedString {
  readonly path: NodePath
  readonly place: SourceLocation
  readonly value: string
}

/** Returns the string at a node, or the strings of a list. */
const stringsAt = (node: LocatedNode | undefined, path: NodePath): LocatedString[] => {
  if (node?.kind === 'scalar') return typeof node.value === 'string' ? [{ path, place: node.place, value: node.value }] : []
  return node?.kind === 'array' ? node.items.flatMap((item, index) => stringsAt(item, [...path, index])) : []
}

/** Returns the strings under one key of every entry of a section. */
const stringsInSection = (root: LocatedNode, section: string, key: string): LocatedString[] =>
  [...sectionOf(root, section)].flatMap(([id, { value }]) => stringsAt(childOf(value, key), [section, id, key]))

const checkReferencesExist = (strings: readonly LocatedString[], known: ReadonlyMap<string, unknown>, kind: string): Finding[] =>
  strings.filter(item => !known.has(item.value)).map(({ place, path, value }) => createError(place, path, `unknown ${kind} "${value}"`))

/** Reports each string that equals an earlier one. */
const checkNoDuplicates = (strings: readonly LocatedString[], kind: string): Finding[] => {
  const firstByValue = new Map<string, LocatedString>()
  return strings.flatMap(item => {
    const earlier = firstByValue.get(item.value)
    if (earlier === undefined) firstByValue.set(item.value, item)
    return earlier === undefined ? [] : [createError(item.place, item.path, `duplicate ${kind} "${item.value}"; it was first given as ${earlier.path.join('.')}`)]
  })
}

const checkUpstreams = (root: LocatedNode): Finding[] => [
  ...checkReferencesExist(stringsInSection(root, 'upstreams', 'service'), sectionOf(root, 'services'), 'service'),
  ...checkReferencesExist(stringsInSection(root, 'upstreams', 'zone'), sectionOf(root, 'zones'), 'zone'),
  ...checkNoDuplicates(stringsInSection(root, 'upstreams', 'host'), 'host')
]

/** Returns the services in the lists of the workspaces, without a `*` in place of a list, which allows all services. */
const allowedServices = (root: LocatedNode): LocatedString[] =>
  stringsInSection(root, 'workspaces', 'services').filter(({ path, value }) => value !== '*' || path.length > 3)

const patienceServices = (id: string, workspace: LocatedNode): LocatedString[] =>
  [...membersOf(childOf(childOf(workspace, 'patience'), 'byService'))]
    .map(([key, member]) => ({ path: ['workspaces', id, 'patience', 'byService', key], place: member.keyPlace, value: key }))

const dailyTimes = (id: string, workspace: LocatedNode): LocatedString[] => {
  const daily = childOf(childOf(workspace, 'patience'), 'daily')
  if (daily?.kind !== 'array') return []
  return daily.items.flatMap((item, index) => stringsAt(childOf(item, 'from'), ['workspaces', id, 'patience', 'daily', index, 'from']))
}

/** Reports services without upstreams. Only a warning, because a service may be configured before its upstreams. */
const checkServicesHaveUpstreams = (root: LocatedNode): Finding[] => {
  const servicesWithUpstream = new Set(stringsInSection(root, 'upstreams', 'service').map(item => item.value))
  return [...sectionOf(root, 'services')]
    .filter(([id]) => !servicesWithUpstream.has(id))
    .map(([id, member]) => ({ severity: 'warning', place: member.value.place, path: `services.${id}`, message: 'no upstream offers this service' }))
}

const checkWorkspaces = (root: LocatedNode): Finding[] => {
  const workspaces = [...sectionOf(root, 'workspaces')].map(([id, { value }]) => ({ id, value }))
  const services = [...allowedServices(root), ...workspaces.flatMap(({ id, value }) => patienceServices(id, value))]
  return [
    ...checkReferencesExist(services, sectionOf(root, 'services'), 'service'),
    ...checkNoDuplicates(stringsInSection(root, 'workspaces', 'keys'), 'caller key'),
    ...workspaces.flatMap(({ id, value }) => checkNoDuplicates(dailyTimes(id, value), 'time of day'))
  ]
}

const checkSites = (root: LocatedNode): Finding[] => {
  const zones = sectionOf(root, 'zones')
  const siteZones = stringsInSection(root, 'sites', 'zones')
  const zonesWithSite = new Set(siteZones.map(item => item.value))
  const missingSiteFindings = [...zones]
    .filter(([id]) => !zonesWithSite.has(id))
    .map(([id, member]) => createError(member.keyPlace, ['zones', id], 'no site has this zone'))
  return [...checkReferencesExist(siteZones, zones, 'zone'), ...missingSiteFindings, ...checkNoDuplicates(siteZones, 'zone')]
}

const checkLessThan = (root: LocatedNode, lowPath: NodePath, highPath: NodePath): Finding[] => {
  const [lowNode, highNode] = [findNode(root, lowPath), findNode(root, highPath)]
  if (lowNode?.kind !== 'scalar' || highNode?.kind !== 'scalar') return []
  if (typeof lowNode.value !== 'number' || typeof highNode.value !== 'number' || lowNode.value < highNode.value) return []
  return [createError(lowNode.place, lowPath, `must be less than ${highPath.join('.')}, which is ${highNode.value}`)]
}

const checkTimingOrder = (root: LocatedNode): Finding[] => [
  ...checkLessThan(root, ['links', 'heartbeatMs'], ['links', 'silenceMs']),
  ...checkLessThan(root, ['links', 'silenceMs'], ['links', 'expiryMs'])
]

/** Checks a merged tree for consistency between its sections. */
export type ReferenceCheck = (root: LocatedNode) => Finding[]

/** Caches the findings of the first tree for all trees whose named sections are the same node objects. */
const cacheBySections = (sections: readonly string[], check: ReferenceCheck): ReferenceCheck => {
  let first: { readonly nodes: ReadonlyArray<LocatedNode | undefined>, readonly findings: Finding[] } | undefined
  return root => {
    const nodes = sections.map(section => childOf(root, section))
    if (first?.nodes.every((node, index) => node === nodes[index]) === true) return first.findings
    const findings = check(root)
    first ??= { nodes, findings }
    return findings
  }
}

/**
 * Creates a check of references between sections, duplicates, and the order of timings, for all trees of one base file.
 * These trees share the sections that their overlays do not change, so the upstreams, by far the largest section, are
 * checked only once unless an overlay changes them.
 */
export const createReferenceCheck = (): ReferenceCheck => {
  const checkUpstreamSections = cacheBySections(['upstreams', 'services', 'zones'], root => [...checkUpstreams(root), ...checkServicesHaveUpstreams(root)])
  return root => [...checkUpstreamSections(root), ...checkWorkspaces(root), ...checkSites(root), ...checkTimingOrder(root)]
}

/** Checks that the parts of a configuration fit each other. Works on the tree, so that it runs beside schema findings. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'
import type { LocatedNode, Member, NodePath } from '../document/documentTypes.js'
import { findNode } from '../document/nodes.js'

const error = (place: SourceLocation, path: NodePath, message: string): Finding =>
  ({ severity: 'error', place, path: path.join('.'), message })

const NO_MEMBERS: ReadonlyMap<string, Member> = new Map()

const membersOf = (node: LocatedNode | undefined): ReadonlyMap<string, Member> =>
  node?.kind === 'object' ? node.members : NO_MEMBERS

const childOf = (node: LocatedNode | undefined, key: string): LocatedNode | undefined => membersOf(node).get(key)?.value

const sectionOf = (root: LocatedNode, name: string): ReadonlyMap<string, Member> => membersOf(childOf(root, name))

/** A string at a path, with its place. */
interface Text {
  readonly path: NodePath
  readonly place: SourceLocation
  readonly value: string
}

/** The string at a node, or the strings of a list. */
const textsAt = (node: LocatedNode | undefined, path: NodePath): Text[] => {
  if (node?.kind === 'scalar') return typeof node.value === 'string' ? [{ path, place: node.place, value: node.value }] : []
  return node?.kind === 'array' ? node.items.flatMap((item, index) => textsAt(item, [...path, index])) : []
}

/** The strings under one key of every entry of a section. */
const textsOfAll = (root: LocatedNode, section: string, key: string): Text[] =>
  [...sectionOf(root, section)].flatMap(([id, { value }]) => textsAt(childOf(value, key), [section, id, key]))

const checkKnown = (texts: readonly Text[], known: ReadonlyMap<string, unknown>, kind: string): Finding[] =>
  texts.filter(text => !known.has(text.value)).map(({ place, path, value }) => error(place, path, `unknown ${kind} "${value}"`))

/** Reports each text that an earlier one equals. */
const checkUnique = (texts: readonly Text[], kind: string): Finding[] => {
  const first = new Map<string, Text>()
  return texts.flatMap(text => {
    const earlier = first.get(text.value)
    if (earlier === undefined) first.set(text.value, text)
    return earlier === undefined ? [] : [error(text.place, text.path, `duplicate ${kind} "${text.value}"; it was first given as ${earlier.path.join('.')}`)]
  })
}

const checkUpstreams = (root: LocatedNode): Finding[] => [
  ...checkKnown(textsOfAll(root, 'upstreams', 'service'), sectionOf(root, 'services'), 'service'),
  ...checkKnown(textsOfAll(root, 'upstreams', 'zone'), sectionOf(root, 'zones'), 'zone'),
  ...checkUnique(textsOfAll(root, 'upstreams', 'host'), 'host')
]

/** Services in the list of a workspace; `*` alone stands for all. */
const allowedServices = (root: LocatedNode): Text[] =>
  textsOfAll(root, 'workspaces', 'services').filter(({ path, value }) => value !== '*' || path.length > 3)

const patientServices = (id: string, workspace: LocatedNode): Text[] =>
  [...membersOf(childOf(childOf(workspace, 'patience'), 'byService'))]
    .map(([key, member]) => ({ path: ['workspaces', id, 'patience', 'byService', key], place: member.keyPlace, value: key }))

const dailyTimes = (id: string, workspace: LocatedNode): Text[] => {
  const daily = childOf(childOf(workspace, 'patience'), 'daily')
  if (daily?.kind !== 'array') return []
  return daily.items.flatMap((item, index) => textsAt(childOf(item, 'from'), ['workspaces', id, 'patience', 'daily', index, 'from']))
}

/** A service without upstreams is allowed while it is set up. */
const checkServed = (root: LocatedNode): Finding[] => {
  const served = new Set(textsOfAll(root, 'upstreams', 'service').map(text => text.value))
  return [...sectionOf(root, 'services')]
    .filter(([id]) => !served.has(id))
    .map(([id, member]) => ({ severity: 'warning', place: member.value.place, path: `services.${id}`, message: 'no upstream offers this service' }))
}

const checkWorkspaces = (root: LocatedNode): Finding[] => {
  const workspaces = [...sectionOf(root, 'workspaces')].map(([id, { value }]) => ({ id, value }))
  const services = [...allowedServices(root), ...workspaces.flatMap(({ id, value }) => patientServices(id, value))]
  return [
    ...checkKnown(services, sectionOf(root, 'services'), 'service'),
    ...checkUnique(textsOfAll(root, 'workspaces', 'keys'), 'caller key'),
    ...workspaces.flatMap(({ id, value }) => checkUnique(dailyTimes(id, value), 'time of day'))
  ]
}

const checkSites = (root: LocatedNode): Finding[] => {
  const zones = sectionOf(root, 'zones')
  const used = textsOfAll(root, 'sites', 'zones')
  const covered = new Set(used.map(text => text.value))
  const uncovered = [...zones]
    .filter(([id]) => !covered.has(id))
    .map(([id, member]) => error(member.keyPlace, ['zones', id], 'no site has this zone'))
  return [...checkKnown(used, zones, 'zone'), ...uncovered, ...checkUnique(used, 'zone')]
}

const checkLess = (root: LocatedNode, low: NodePath, high: NodePath): Finding[] => {
  const [lowNode, highNode] = [findNode(root, low), findNode(root, high)]
  if (lowNode?.kind !== 'scalar' || highNode?.kind !== 'scalar') return []
  if (typeof lowNode.value !== 'number' || typeof highNode.value !== 'number' || lowNode.value < highNode.value) return []
  return [error(lowNode.place, low, `must be less than ${high.join('.')}, which is ${highNode.value}`)]
}

const checkOrder = (root: LocatedNode): Finding[] => [
  ...checkLess(root, ['links', 'heartbeatMs'], ['links', 'silenceMs']),
  ...checkLess(root, ['links', 'silenceMs'], ['links', 'expiryMs'])
]

/** Checks the references of a merged tree. */
export type ReferenceCheck = (root: LocatedNode) => Finding[]

/** Repeats the first findings for every tree that has the very nodes of the first in the named sections. */
const onceFor = (sections: readonly string[], check: ReferenceCheck): ReferenceCheck => {
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
 * Prepares the check of references between sections, of duplicates, and of the order of timings. Trees of one base file
 * share the sections that overlays leave alone; the upstreams, by far the largest, are then checked once.
 *
 * @returns the check, for trees of one base file
 */
export const createReferenceCheck = (): ReferenceCheck => {
  const checkLargest = onceFor(['upstreams', 'services', 'zones'], root => [...checkUpstreams(root), ...checkServed(root)])
  return root => [...checkLargest(root), ...checkWorkspaces(root), ...checkSites(root), ...checkOrder(root)]
}

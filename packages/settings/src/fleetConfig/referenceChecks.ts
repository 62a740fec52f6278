/** Checks that the parts of a configuration fit each other. Works on the tree, so that it runs beside schema findings. */
import type { Finding, Place } from '@fuchsiaworks/kernel'
import type { LocatedNode, NodePath } from '../document/documentTypes.js'
import { findNode, findPlace, membersAt } from '../document/nodes.js'

const error = (place: Place, path: NodePath, message: string): Finding =>
  ({ severity: 'error', place, path: path.join('.'), message })

const idsOf = (root: LocatedNode, section: string): ReadonlySet<string> =>
  new Set(membersAt(root, [section]).map(([key]) => key))

/** A string at a path, with its place. */
interface Text {
  readonly path: NodePath
  readonly place: Place
  readonly value: string
}

const textsAt = (root: LocatedNode, path: NodePath): Text[] => {
  const node = findNode(root, path)
  if (node?.kind === 'scalar' && typeof node.value === 'string') return [{ path, place: node.place, value: node.value }]
  if (node?.kind !== 'array') return []
  return node.items.flatMap((_item, index) => textsAt(root, [...path, index]))
}

const checkKnown = (texts: readonly Text[], known: ReadonlySet<string>, kind: string): Finding[] =>
  texts.filter(text => !known.has(text.value)).map(({ place, path, value }) => error(place, path, `unknown ${kind} "${value}"`))

const checkUpstreams = (root: LocatedNode): Finding[] => {
  const zones = idsOf(root, 'zones')
  const services = idsOf(root, 'services')
  return membersAt(root, ['upstreams']).flatMap(([id]) => [
    ...checkKnown(textsAt(root, ['upstreams', id, 'service']), services, 'service'),
    ...checkKnown(textsAt(root, ['upstreams', id, 'zone']), zones, 'zone')
  ])
}

const checkWorkspaces = (root: LocatedNode): Finding[] => {
  const services = idsOf(root, 'services')
  return membersAt(root, ['workspaces']).flatMap(([id]) => {
    const allowed = textsAt(root, ['workspaces', id, 'services']).filter(text => text.value !== '*' || text.path.length > 3)
    const byService = membersAt(root, ['workspaces', id, 'patience', 'byService'])
      .map(([key, member]) => ({ path: ['workspaces', id, 'patience', 'byService', key], place: member.keyPlace, value: key }))
    return checkKnown([...allowed, ...byService], services, 'service')
  })
}

const checkSites = (root: LocatedNode): Finding[] => {
  const zones = idsOf(root, 'zones')
  const used = membersAt(root, ['sites']).flatMap(([id]) => textsAt(root, ['sites', id, 'zones']))
  const covered = new Set(used.map(text => text.value))
  const uncovered = membersAt(root, ['zones'])
    .filter(([id]) => !covered.has(id))
    .map(([id, member]) => error(member.keyPlace, ['zones', id], 'no site has this zone'))
  return [...checkKnown(used, zones, 'zone'), ...uncovered, ...checkUnique(used, 'zone')]
}

/** Reports each text that an earlier one equals. */
const checkUnique = (texts: readonly Text[], kind: string): Finding[] => {
  const first = new Map<string, Text>()
  return texts.flatMap(text => {
    const earlier = first.get(text.value)
    if (earlier === undefined) {
      first.set(text.value, text)
      return []
    }
    return [error(text.place, text.path, `duplicate ${kind} "${text.value}"; it was first given as ${earlier.path.join('.')}`)]
  })
}

const checkSharedValues = (root: LocatedNode): Finding[] => {
  const keys = membersAt(root, ['workspaces']).flatMap(([id]) => textsAt(root, ['workspaces', id, 'keys']))
  const hosts = membersAt(root, ['upstreams']).flatMap(([id]) => textsAt(root, ['upstreams', id, 'host']))
  const times = membersAt(root, ['workspaces']).map(([id]) => dailyTimes(root, id))
  return [...checkUnique(keys, 'caller key'), ...checkUnique(hosts, 'host'), ...times.flatMap(list => checkUnique(list, 'time of day'))]
}

const dailyTimes = (root: LocatedNode, workspace: string): Text[] => {
  const path = ['workspaces', workspace, 'patience', 'daily']
  const daily = findNode(root, path)
  if (daily?.kind !== 'array') return []
  return daily.items.flatMap((_item, index) => textsAt(root, [...path, index, 'from']))
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

/** A service without upstreams is allowed while it is set up. */
const checkServed = (root: LocatedNode): Finding[] => {
  const served = new Set(membersAt(root, ['upstreams']).flatMap(([id]) => textsAt(root, ['upstreams', id, 'service'])).map(text => text.value))
  return membersAt(root, ['services'])
    .filter(([id]) => !served.has(id))
    .map(([id]) => ({ severity: 'warning', place: findPlace(root, ['services', id]), path: `services.${id}`, message: 'no upstream offers this service' }))
}

/**
 * Checks references between the sections, duplicates, and the order of timings.
 *
 * @param root - the merged configuration
 * @returns the findings
 */
export const checkReferences = (root: LocatedNode): Finding[] => [
  ...checkUpstreams(root),
  ...checkWorkspaces(root),
  ...checkSites(root),
  ...checkSharedValues(root),
  ...checkOrder(root),
  ...checkServed(root)
]

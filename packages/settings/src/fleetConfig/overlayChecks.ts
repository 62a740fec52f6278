/** Checks that an overlay doesn't change keys that must be the same at all sites. */
import type { Finding } from '@fuchsiaworks/kernel'
import type { LocatedNode, NodePath } from '../document/documentTypes.js'
import { findNode, leavesOf } from '../document/nodes.js'

/** A key that must be the same at all sites, and the reason that findings state. `*` in the path matches any id. */
export interface FleetWideKey {
  readonly path: readonly string[]
  readonly reason: string
}

/** Keys that no overlay may change. */
export const fleetWideKeys: readonly FleetWideKey[] = [
  { path: ['services', '*', 'cost'], reason: 'service is counted over all sites' },
  { path: ['workspaces', '*', 'weight'], reason: 'shares are compared over all sites' },
  { path: ['upstreams', '*', 'service'], reason: 'the home of an Idempotency-Key is chosen from the same upstreams everywhere' }
]

/** Compares only the common length of both paths, because removing an ancestor of the key affects the key too. */
const affectsKey = (path: NodePath, key: readonly string[]): boolean =>
  path.slice(0, key.length).every((step, index) => key[index] === '*' || key[index] === step)

const isRemoval = (node: LocatedNode): boolean => node.kind === 'scalar' && node.value === null

const checkFleetWide = (path: NodePath, node: LocatedNode): Finding[] => fleetWideKeys
  .filter(key => affectsKey(path, key.path) && (path.length >= key.path.length || isRemoval(node)))
  .slice(0, 1)
  .map(key => ({ severity: 'error', place: node.place, path: path.join('.'), message: `an overlay can't change this: ${key.reason}` }))

const checkRemoval = (base: LocatedNode, path: NodePath, node: LocatedNode): Finding[] => {
  if (!isRemoval(node) || findNode(base, path) !== undefined) return []
  return [{ severity: 'warning', place: node.place, path: path.join('.'), message: 'removes a key that the base file does not have' }]
}

/**
 * Reports keys of an overlay that must not be changed, and removals of keys that the base does not have.
 *
 * @param base - the base document
 * @param overlay - the overlay
 */
export const checkOverlay = (base: LocatedNode, overlay: LocatedNode): Finding[] => {
  if (overlay.kind !== 'object') {
    return [{ severity: 'error', place: overlay.place, path: '', message: 'expected an object' }]
  }
  return leavesOf(overlay).flatMap(({ path, node }) => [...checkFleetWide(path, node), ...checkRemoval(base, path, node)])
}

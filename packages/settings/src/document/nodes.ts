/** Lookup of values and places in a document tree. */
import { assertNever, type SourceLocation } from '@fuchsiaworks/kernel'
import type { LocatedNode, Member, NodePath } from './documentTypes.js'

/**
 * Converts a tree to plain objects, lists and scalars, as JSON.parse would return them.
 *
 * @param node - root of the tree
 */
export const toValue = (node: LocatedNode): unknown => {
  switch (node.kind) {
    case 'scalar':
      return node.value
    case 'array':
      return node.items.map(toValue)
    case 'object':
      return Object.fromEntries([...node.members].map(([key, { value }]) => [key, toValue(value)]))
    default:
      return assertNever(node)
  }
}

const childOf = (node: LocatedNode, step: string | number): LocatedNode | undefined => {
  if (node.kind === 'object') return node.members.get(String(step))?.value
  return node.kind === 'array' ? node.items[Number(step)] : undefined
}

/**
 * Finds a node by its path.
 *
 * @param root - root of the tree
 * @param path - keys and indexes from the root
 * @returns the node, or undefined if the path does not exist
 */
export const findNode = (root: LocatedNode, path: NodePath): LocatedNode | undefined =>
  path.reduce<LocatedNode | undefined>((node, step) => node && childOf(node, step), root)

/**
 * Finds the place of a value, or of its nearest existing ancestor.
 *
 * @param root - root of the tree
 * @param path - keys and indexes from the root
 */
export const findPlace = (root: LocatedNode, path: NodePath): SourceLocation => {
  let node = root
  for (const step of path) {
    const next = childOf(node, step)
    if (next === undefined) break
    node = next
  }
  return node.place
}

/**
 * Finds the place of a key.
 *
 * @param root - root of the tree
 * @param path - path of the object that has the key
 * @param key - the key
 * @returns the place of the key, or of the object if the key is missing
 */
export const findKeyPlace = (root: LocatedNode, path: NodePath, key: string): SourceLocation => {
  const node = findNode(root, path)
  const member = node?.kind === 'object' ? node.members.get(key) : undefined
  return member?.keyPlace ?? findPlace(root, path)
}

/**
 * Lists the members of an object.
 *
 * @param root - root of the tree
 * @param path - path of the object
 * @returns keys and members; empty if there is no object at the path
 */
export const membersAt = (root: LocatedNode, path: NodePath): Array<[string, Member]> => {
  const node = findNode(root, path)
  return node?.kind === 'object' ? [...node.members] : []
}

/** A scalar, list or empty object with its path. */
export interface Leaf {
  readonly path: NodePath
  readonly node: LocatedNode
}

const isLeaf = (node: LocatedNode): boolean => node.kind !== 'object' || node.members.size === 0

/**
 * Lists the scalars, lists and empty objects of a tree in document order.
 *
 * @param node - root of the tree
 * @param path - path of that root in its document
 */
export const leavesOf = (node: LocatedNode, path: NodePath = []): Leaf[] => {
  if (isLeaf(node) || node.kind !== 'object') return [{ path, node }]
  return [...node.members].flatMap(([key, { value }]) => leavesOf(value, [...path, key]))
}

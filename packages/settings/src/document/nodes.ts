/** Reads values and places out of a located tree. */
import { assertNever, type SourceLocation } from '@fuchsiaworks/kernel'
import type { LocatedNode, Member, NodePath } from './documentTypes.js'

/**
 * Turns a tree into plain values.
 *
 * @param node - the tree
 * @returns objects, lists and scalars as JSON.parse would give
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

const child = (node: LocatedNode, step: string | number): LocatedNode | undefined => {
  if (node.kind === 'object') return node.members.get(String(step))?.value
  return node.kind === 'array' ? node.items[Number(step)] : undefined
}

/**
 * Finds a value by its path.
 *
 * @param root - the tree
 * @param path - keys and indexes from the root
 * @returns the value, or undefined where the path leads nowhere
 */
export const findNode = (root: LocatedNode, path: NodePath): LocatedNode | undefined =>
  path.reduce<LocatedNode | undefined>((node, step) => node && child(node, step), root)

/**
 * Finds the place of a value, or of the nearest value around it that exists.
 *
 * @param root - the tree
 * @param path - keys and indexes from the root
 * @returns the place
 */
export const findPlace = (root: LocatedNode, path: NodePath): SourceLocation => {
  let node = root
  for (const step of path) {
    const next = child(node, step)
    if (next === undefined) break
    node = next
  }
  return node.place
}

/**
 * Finds the place of a key.
 *
 * @param root - the tree
 * @param path - path of the object that has the key
 * @param key - the key
 * @returns the place of the key itself, or of the object where the key is missing
 */
export const findKeyPlace = (root: LocatedNode, path: NodePath, key: string): SourceLocation => {
  const node = findNode(root, path)
  const member = node?.kind === 'object' ? node.members.get(key) : undefined
  return member?.keyPlace ?? findPlace(root, path)
}

/**
 * Lists the members of an object.
 *
 * @param root - the tree
 * @param path - path of the object
 * @returns its keys and members; nothing where there is no object
 */
export const membersAt = (root: LocatedNode, path: NodePath): Array<[string, Member]> => {
  const node = findNode(root, path)
  return node?.kind === 'object' ? [...node.members] : []
}

/** A value without parts, by its path. */
export interface Leaf {
  readonly path: NodePath
  readonly node: LocatedNode
}

const isLeaf = (node: LocatedNode): boolean => node.kind !== 'object' || node.members.size === 0

/**
 * Lists the scalars, lists and empty objects of a tree.
 *
 * @param node - the tree
 * @param path - path of the tree itself
 * @returns the leaves in order
 */
export const leavesOf = (node: LocatedNode, path: NodePath = []): Leaf[] => {
  if (isLeaf(node) || node.kind !== 'object') return [{ path, node }]
  return [...node.members].flatMap(([key, { value }]) => leavesOf(value, [...path, key]))
}

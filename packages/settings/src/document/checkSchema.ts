/** Validates a document tree against a schema and converts the schema's issues to findings with places. */
import type { Finding } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import type { LocatedNode, NodePath } from './documentTypes.js'
import { findKeyPlace, findNode, findPlace, toValue } from './nodes.js'

/** Result of a validation. The value is undefined if there are findings. */
export interface SchemaResult<T> {
  readonly value: T | undefined
  readonly findings: readonly Finding[]
}

type Issue = z.core.$ZodIssue

/** Keys whose values are left out of schema findings, because they may be secrets: a caller key may be pasted in place of its digest. */
const SECRET_KEYS: ReadonlySet<string | number> = new Set(['key', 'keys', 'linkKey'])

/** Converts the path of a zod issue to keys and indexes. */
const pathOf = (path: readonly PropertyKey[]): Array<string | number> =>
  path.map(step => typeof step === 'number' ? step : String(step))

/** A part of a document and its path in the document. */
interface LocatedSubtree {
  readonly node: LocatedNode
  readonly at: NodePath
}

const createFinding = (subtree: LocatedSubtree, place: Finding['place'], path: NodePath, message: string): Finding =>
  ({ severity: 'error', place, path: [...subtree.at, ...path].join('.'), message })

/** Removes the parts of zod's message that the finding states itself. */
const shortenMessage = (message: string): string => message
  .replace(/^Invalid (input|option): /, '')
  .replace(/, received .*$/, '')

const unknownKeyFindings = (subtree: LocatedSubtree, path: NodePath, keys: readonly string[]): Finding[] =>
  keys.map(key => createFinding(subtree, findKeyPlace(subtree.node, path, key), [...path, key], 'unknown key'))

const invalidKeyFindings = (subtree: LocatedSubtree, path: NodePath, issue: Issue & { code: 'invalid_key' }): Finding[] => {
  const key = String(path.at(-1))
  const message = issue.issues.map(inner => shortenMessage(inner.message)).join('; ')
  return [createFinding(subtree, findKeyPlace(subtree.node, path.slice(0, -1), key), path, message)]
}

const invalidValueFindings = (subtree: LocatedSubtree, path: NodePath, issue: Issue): Finding[] => {
  const node = findNode(subtree.node, path)
  const message = shortenMessage(issue.message)
  if (node === undefined) return [createFinding(subtree, findPlace(subtree.node, path), path, `missing; ${message}`)]
  const mayShowValue = node.kind === 'scalar' && ![...subtree.at, ...path].some(step => SECRET_KEYS.has(step))
  const actualValue = mayShowValue ? `, not ${JSON.stringify(node.value)}` : ''
  return [createFinding(subtree, node.place, path, `${message}${actualValue}`)]
}

const toFindings = (subtree: LocatedSubtree, issue: Issue): Finding[] => {
  const path = pathOf(issue.path)
  if (issue.code === 'unrecognized_keys') return unknownKeyFindings(subtree, path, issue.keys)
  if (issue.code === 'invalid_key') return invalidKeyFindings(subtree, path, issue)
  return invalidValueFindings(subtree, path, issue)
}

/**
 * Validates a tree against a schema.
 *
 * @param schema - the schema
 * @param node - root of the tree
 * @param at - path of that root in its document
 * @returns the value with defaults applied, or the findings
 */
export const checkSchema = <S extends z.ZodType>(schema: S, node: LocatedNode, at: NodePath = []): SchemaResult<z.output<S>> => {
  const result = schema.safeParse(toValue(node))
  if (result.success) return { value: result.data, findings: [] }
  return { value: undefined, findings: result.error.issues.flatMap(issue => toFindings({ node, at }, issue)) }
}

/** Checks a located tree against a schema and turns the schema's issues into findings with places. */
import type { Finding } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import type { LocatedNode, NodePath } from './documentTypes.js'
import { findKeyPlace, findNode, findPlace, toValue } from './nodes.js'

/** The typed value, or undefined when there is a finding. */
export interface SchemaResult<T> {
  readonly value: T | undefined
  readonly findings: readonly Finding[]
}

type Issue = z.core.$ZodIssue

/** Keys whose values stay out of messages: a caller's key pasted in place of its digest would be one. */
const SECRET_KEYS: ReadonlySet<string | number> = new Set(['key', 'keys', 'linkKey'])

/** Path of a zod issue as keys and indexes. */
const pathOf = (path: readonly PropertyKey[]): Array<string | number> =>
  path.map(step => typeof step === 'number' ? step : String(step))

/** A tree with the path at which it stands in its document. */
interface Subject {
  readonly node: LocatedNode
  readonly at: NodePath
}

const finding = (subject: Subject, place: Finding['place'], path: NodePath, message: string): Finding =>
  ({ severity: 'error', place, path: [...subject.at, ...path].join('.'), message })

/** The schema library's sentence without the part that the finding says itself. */
const shorten = (message: string): string => message
  .replace(/^Invalid (input|option): /, '')
  .replace(/, received .*$/, '')

const unknownKeys = (subject: Subject, path: NodePath, keys: readonly string[]): Finding[] =>
  keys.map(key => finding(subject, findKeyPlace(subject.node, path, key), [...path, key], 'unknown key'))

const badKey = (subject: Subject, path: NodePath, issue: Issue & { code: 'invalid_key' }): Finding[] => {
  const key = String(path.at(-1))
  const message = issue.issues.map(inner => shorten(inner.message)).join('; ')
  return [finding(subject, findKeyPlace(subject.node, path.slice(0, -1), key), path, message)]
}

const mismatch = (subject: Subject, path: NodePath, issue: Issue): Finding[] => {
  const node = findNode(subject.node, path)
  const message = shorten(issue.message)
  if (node === undefined) return [finding(subject, findPlace(subject.node, path), path, `missing; ${message}`)]
  const showable = node.kind === 'scalar' && ![...subject.at, ...path].some(step => SECRET_KEYS.has(step))
  const shown = showable ? `, not ${JSON.stringify(node.value)}` : ''
  return [finding(subject, node.place, path, `${message}${shown}`)]
}

const toFindings = (subject: Subject, issue: Issue): Finding[] => {
  const path = pathOf(issue.path)
  if (issue.code === 'unrecognized_keys') return unknownKeys(subject, path, issue.keys)
  if (issue.code === 'invalid_key') return badKey(subject, path, issue)
  return mismatch(subject, path, issue)
}

/**
 * Checks a tree against a schema.
 *
 * @param schema - the schema
 * @param node - the tree
 * @param at - path at which the tree stands in its document
 * @returns the value with defaults filled in, or the findings
 */
export const checkSchema = <S extends z.ZodType>(schema: S, node: LocatedNode, at: NodePath = []): SchemaResult<z.output<S>> => {
  const result = schema.safeParse(toValue(node))
  if (result.success) return { value: result.data, findings: [] }
  return { value: undefined, findings: result.error.issues.flatMap(issue => toFindings({ node, at }, issue)) }
}

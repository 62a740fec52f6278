/** Parses JSONC into a tree with source places, and collects all syntax errors. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'
import { createScanner, type Node, type ParseError, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { LocatedNode, Member, NamedText, ObjectNode, ReadResult } from './documentTypes.js'
import { createPlaceLookup } from './places.js'

/** Maximum nesting depth. The parser recurses once per level, so deeper nesting could exhaust the stack. */
const MAX_DEPTH = 64

/** Maximum number of syntax errors that are reported for one document. */
const MAX_SYNTAX_FINDINGS = 50

/** Keys that would set the prototype of a plain object. */
const FORBIDDEN_KEYS: ReadonlySet<string> = new Set(['__proto__'])

/** Change of the nesting depth by the first character of a token. */
const DEPTH_CHANGE: Readonly<Record<string, number>> = { '{': 1, '[': 1, '}': -1, ']': -1 }

interface ParseContext {
  readonly placeAt: (offset: number) => SourceLocation
  readonly findings: Finding[]
}

const addError = (context: ParseContext, offset: number, path: string, message: string): void => {
  context.findings.push({ severity: 'error', place: context.placeAt(offset), path, message })
}

/** Returns the offset of the first bracket beyond the maximum depth. Uses the scanner, which does not recurse. */
const findExcessiveDepth = (text: string): number | undefined => {
  const scanner = createScanner(text, true)
  let depth = 0
  while (scanner.getPosition() < text.length) {
    scanner.scan()
    depth += DEPTH_CHANGE[text.charAt(scanner.getTokenOffset())] ?? 0
    if (depth > MAX_DEPTH) return scanner.getTokenOffset()
  }
  return undefined
}

/** Converts the parser's error code to words, such as `comma expected`. */
const describeParseError = (parseError: ParseError): string =>
  printParseErrorCode(parseError.error).replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase()

const addMember = (context: ParseContext, property: Node, path: string, members: Map<string, Member>): void => {
  const [keyNode, valueNode] = property.children ?? []
  if (keyNode === undefined || valueNode === undefined) return
  const key = String(keyNode.value)
  const memberPath = path === '' ? key : `${path}.${key}`
  if (FORBIDDEN_KEYS.has(key)) {
    addError(context, keyNode.offset, memberPath, 'this key is not allowed')
    return
  }
  const first = members.get(key)
  if (first !== undefined) {
    addError(context, keyNode.offset, memberPath, `duplicate key; it was first given in line ${first.keyPlace.line}`)
    return
  }
  members.set(key, { keyPlace: context.placeAt(keyNode.offset), value: toLocatedNode(context, valueNode, memberPath) })
}

const toObjectNode = (context: ParseContext, node: Node, path: string): ObjectNode => {
  const members = new Map<string, Member>()
  for (const property of node.children ?? []) addMember(context, property, path, members)
  return { kind: 'object', place: context.placeAt(node.offset), members }
}

const toLocatedNode = (context: ParseContext, node: Node, path: string): LocatedNode => {
  const place = context.placeAt(node.offset)
  if (node.type === 'object') return toObjectNode(context, node, path)
  if (node.type !== 'array') return { kind: 'scalar', place, value: node.value as string | number | boolean | null }
  const items = (node.children ?? []).map((child, index) => toLocatedNode(context, child, `${path}.${index}`))
  return { kind: 'array', place, items }
}

/**
 * Parses a document. Never throws.
 *
 * @param source - the text and its name
 * @returns the tree, if the text can be parsed, and all findings
 */
export const readDocument = (source: NamedText): ReadResult => {
  const context: ParseContext = { placeAt: createPlaceLookup(source), findings: [] }
  const excessiveDepth = findExcessiveDepth(source.text)
  if (excessiveDepth !== undefined) {
    addError(context, excessiveDepth, '', `nested deeper than ${MAX_DEPTH} levels`)
    return { root: undefined, findings: context.findings }
  }
  const parseErrors: ParseError[] = []
  const tree = parseTree(source.text, parseErrors, { allowTrailingComma: true })
  for (const parseError of parseErrors.slice(0, MAX_SYNTAX_FINDINGS)) addError(context, parseError.offset, '', describeParseError(parseError))
  if (tree === undefined && parseErrors.length === 0) addError(context, 0, '', 'the document is empty')
  const root = tree === undefined ? undefined : toLocatedNode(context, tree, '')
  return { root, findings: context.findings }
}

/** Reads JSON with comments into a tree with places, and collects every fault of its syntax. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'
import { createScanner, type Node, type ParseError, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { LocatedNode, Member, NamedText, ObjectNode, ReadResult } from './documentTypes.js'
import { placesOf } from './places.js'

/** Levels of nesting that a document may have; the parser recurses once for each. */
const MAX_DEPTH = 64

/** Syntax faults that are reported for one document. */
const MAX_SYNTAX_FINDINGS = 50

/** Keys that would reach the prototype of a plain object. */
const FORBIDDEN_KEYS: ReadonlySet<string> = new Set(['__proto__'])

/** Change of the depth by the first character of a token. */
const DEPTH_CHANGE: Readonly<Record<string, number>> = { '{': 1, '[': 1, '}': -1, ']': -1 }

interface Reading {
  readonly placeAt: (offset: number) => SourceLocation
  readonly findings: Finding[]
}

const report = (reading: Reading, offset: number, path: string, message: string): void => {
  reading.findings.push({ severity: 'error', place: reading.placeAt(offset), path, message })
}

/** Offset of the first bracket that lies too deep. Scanning does not recurse. */
const findTooDeep = (text: string): number | undefined => {
  const scanner = createScanner(text, true)
  let depth = 0
  while (scanner.getPosition() < text.length) {
    scanner.scan()
    depth += DEPTH_CHANGE[text.charAt(scanner.getTokenOffset())] ?? 0
    if (depth > MAX_DEPTH) return scanner.getTokenOffset()
  }
  return undefined
}

/** The parser's name of a fault in words, as `comma expected`. */
const describeFault = (fault: ParseError): string =>
  printParseErrorCode(fault.error).replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase()

const readMember = (reading: Reading, property: Node, path: string, members: Map<string, Member>): void => {
  const [keyNode, valueNode] = property.children ?? []
  if (keyNode === undefined || valueNode === undefined) return
  const key = String(keyNode.value)
  const memberPath = path === '' ? key : `${path}.${key}`
  if (FORBIDDEN_KEYS.has(key)) {
    report(reading, keyNode.offset, memberPath, 'this key is not allowed')
    return
  }
  const first = members.get(key)
  if (first !== undefined) {
    report(reading, keyNode.offset, memberPath, `duplicate key; it was first given in line ${first.keyPlace.line}`)
    return
  }
  members.set(key, { keyPlace: reading.placeAt(keyNode.offset), value: locate(reading, valueNode, memberPath) })
}

const locateObject = (reading: Reading, node: Node, path: string): ObjectNode => {
  const members = new Map<string, Member>()
  for (const property of node.children ?? []) readMember(reading, property, path, members)
  return { kind: 'object', place: reading.placeAt(node.offset), members }
}

const locate = (reading: Reading, node: Node, path: string): LocatedNode => {
  const place = reading.placeAt(node.offset)
  if (node.type === 'object') return locateObject(reading, node, path)
  if (node.type !== 'array') return { kind: 'scalar', place, value: node.value as string | number | boolean | null }
  const items = (node.children ?? []).map((child, index) => locate(reading, child, `${path}.${index}`))
  return { kind: 'array', place, items }
}

/**
 * Reads a document. Never throws.
 *
 * @param source - the text and the name to report
 * @returns the tree, when the text has one, and every finding
 */
export const readDocument = (source: NamedText): ReadResult => {
  const reading: Reading = { placeAt: placesOf(source), findings: [] }
  const tooDeep = findTooDeep(source.text)
  if (tooDeep !== undefined) {
    report(reading, tooDeep, '', `nested deeper than ${MAX_DEPTH} levels`)
    return { root: undefined, findings: reading.findings }
  }
  const faults: ParseError[] = []
  const tree = parseTree(source.text, faults, { allowTrailingComma: true })
  for (const fault of faults.slice(0, MAX_SYNTAX_FINDINGS)) report(reading, fault.offset, '', describeFault(fault))
  if (tree === undefined && faults.length === 0) report(reading, 0, '', 'the document is empty')
  const root = tree === undefined ? undefined : locate(reading, tree, '')
  return { root, findings: reading.findings }
}

/** Types of the syntax tree of a JSONC document. Every node has its place in the source. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'

/** The text of a file and the name that findings use for it. */
export interface NamedText {
  readonly name: string
  readonly text: string
}

/** A string, number, boolean or null. */
export interface ScalarNode {
  readonly kind: 'scalar'
  readonly place: SourceLocation
  readonly value: string | number | boolean | null
}

/** A list of values. */
export interface ArrayNode {
  readonly kind: 'array'
  readonly place: SourceLocation
  readonly items: readonly LocatedNode[]
}

/** A member of an object: the place of its key, and its value. */
export interface Member {
  readonly keyPlace: SourceLocation
  readonly value: LocatedNode
}

/** An object with its members by key. */
export interface ObjectNode {
  readonly kind: 'object'
  readonly place: SourceLocation
  readonly members: ReadonlyMap<string, Member>
}

/** A value with the file, line and column of its source. */
export type LocatedNode = ScalarNode | ArrayNode | ObjectNode

/** Path of a value: keys and list indexes from the root. */
export type NodePath = ReadonlyArray<string | number>

/** Result of parsing a document. The root is undefined if the text can't be parsed into a tree. */
export interface ReadResult {
  readonly root: LocatedNode | undefined
  readonly findings: readonly Finding[]
}

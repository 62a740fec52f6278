/** A document in JSON with comments, read into a tree that keeps the place of every value. */
import type { Finding, SourceLocation } from '@fuchsiaworks/kernel'

/** The text of a file with the name to report in findings. */
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

/** A value under its key. */
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

/** A value with the file, line and column where it stands. */
export type LocatedNode = ScalarNode | ArrayNode | ObjectNode

/** Keys and list indexes that lead from the root to a value. */
export type NodePath = ReadonlyArray<string | number>

/** What reading a document gave. The root is absent when the text is not one whole value. */
export interface ReadResult {
  readonly root: LocatedNode | undefined
  readonly findings: readonly Finding[]
}

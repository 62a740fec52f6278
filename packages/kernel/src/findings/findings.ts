/** Findings: problems of an input document, collected with their source location and reported together. */
import { FuchsiaError } from '../errors/errors.js'

/** Position in a document. Lines and columns are 1-based. */
export interface SourceLocation {
  readonly file: string
  readonly line: number
  readonly column: number
}

/** One problem of an input document. */
export interface Finding {
  readonly severity: 'error' | 'warning'
  readonly place: SourceLocation
  /** Path of the key within the document, for example `workspaces.small.weight`; empty for the document itself. */
  readonly path: string
  readonly message: string
}

/**
 * Formats a finding as one line in the style of a compiler message.
 *
 * @param finding - the problem
 * @returns `file:line:column: severity: path: message`
 */
export const formatFinding = (finding: Finding): string => {
  const { file, line, column } = finding.place
  const path = finding.path === '' ? '' : `${finding.path}: `
  return `${file}:${line}:${column}: ${finding.severity}: ${path}${finding.message}`
}

/** Thrown once for all findings of one input. */
export class FindingsError extends FuchsiaError {
  /** @param findings - all problems found, in order of location */
  constructor (readonly findings: readonly Finding[]) {
    super('findings', findings.map(formatFinding).join('\n'))
  }
}

/** Findings: problems that are collected with their place and reported together. */
import { FuchsiaError } from '../errors/errors.js'

/** Where a finding lies. Lines and columns count from 1. */
export interface SourceLocation {
  readonly file: string
  readonly line: number
  readonly column: number
}

/** One problem in an input. */
export interface Finding {
  readonly severity: 'error' | 'warning'
  readonly place: SourceLocation
  /** Path of the key inside the document, as `workspaces.small.weight`. */
  readonly path: string
  readonly message: string
}

/**
 * Writes a finding as one line.
 *
 * @param finding - the problem
 * @returns `file:line:column: severity: path: message`
 */
export const formatFinding = (finding: Finding): string => {
  const { file, line, column } = finding.place
  const path = finding.path === '' ? '' : `${finding.path}: `
  return `${file}:${line}:${column}: ${finding.severity}: ${path}${finding.message}`
}

/** Raised once for all findings of one input. */
export class FindingsError extends FuchsiaError {
  /** @param findings - every problem that was found, in order of place */
  constructor (readonly findings: readonly Finding[]) {
    super('findings', findings.map(formatFinding).join('\n'))
  }
}

/** Order and uniqueness of findings. */
import { type Finding, FindingsError, formatFinding } from '@fuchsiaworks/kernel'

const compareByPlace = (a: Finding, b: Finding): number =>
  a.place.file.localeCompare(b.place.file) || a.place.line - b.place.line || a.place.column - b.place.column

/**
 * Sorts findings by place and drops repeated ones.
 *
 * @param findings - in any order
 * @returns each finding once
 */
export const sortUniqueFindings = (findings: readonly Finding[]): Finding[] =>
  [...new Map(findings.map(finding => [formatFinding(finding), finding])).values()].sort(compareByPlace)

/**
 * Tells whether any finding is an error.
 *
 * @param findings - errors and warnings
 * @returns true when there is an error
 */
export const hasErrors = (findings: readonly Finding[]): boolean =>
  findings.some(finding => finding.severity === 'error')

/**
 * Raises the findings unless a value came out.
 *
 * @param value - what was read, or undefined
 * @param findings - what was found on the way
 * @returns the value
 * @throws FindingsError with every finding
 */
export const valueOrThrow = <T>(value: T | undefined, findings: readonly Finding[]): T => {
  if (value === undefined) throw new FindingsError(findings)
  return value
}

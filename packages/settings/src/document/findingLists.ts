/** Helpers for lists of findings. */
import { type Finding, FindingsError, formatFinding } from '@fuchsiaworks/kernel'

const compareByPlace = (a: Finding, b: Finding): number =>
  a.place.file.localeCompare(b.place.file) || a.place.line - b.place.line || a.place.column - b.place.column

/**
 * Sorts findings by place and removes duplicates.
 *
 * @param findings - findings in any order
 */
export const sortUniqueFindings = (findings: readonly Finding[]): Finding[] =>
  [...new Map(findings.map(finding => [formatFinding(finding), finding])).values()].sort(compareByPlace)

/**
 * Returns true if any finding is an error rather than a warning.
 *
 * @param findings - errors and warnings
 */
export const hasErrors = (findings: readonly Finding[]): boolean =>
  findings.some(finding => finding.severity === 'error')

/**
 * Returns the value, or throws the findings if there is none.
 *
 * @param value - the parsed value; undefined if parsing failed
 * @param findings - findings from parsing the value
 * @throws FindingsError with all findings
 */
export const valueOrThrow = <T>(value: T | undefined, findings: readonly Finding[]): T => {
  if (value === undefined) throw new FindingsError(findings)
  return value
}

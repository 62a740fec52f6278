/** `fuchsiactl check`: reports every finding of a base file with its overlays. */
import { type Finding, formatFinding } from '@fuchsiaworks/kernel'
import { checkConfig, hasErrors } from '@fuchsiaworks/settings'
import { type CommandIo, EXIT, type ExitCode, readTextFile } from '../io/commandIo.js'

const formatSummary = (findings: readonly Finding[]): string => {
  const errors = findings.filter(finding => finding.severity === 'error').length
  return findings.length === 0 ? 'no findings' : `errors: ${errors}, warnings: ${findings.length - errors}`
}

/**
 * Checks configuration files.
 *
 * @param io - where findings go
 * @param base - path of the base file
 * @param overlays - paths of overlays
 * @returns findings when there is an error, ok for warnings only
 */
export const checkCommand = async (io: CommandIo, base: string, overlays: readonly string[]): Promise<ExitCode> => {
  const overlayFiles = await Promise.all(overlays.map(readTextFile))
  const { findings } = checkConfig(await readTextFile(base), overlayFiles)
  for (const finding of findings) io.out(formatFinding(finding))
  io.out(formatSummary(findings))
  return hasErrors(findings) ? EXIT.findings : EXIT.ok
}

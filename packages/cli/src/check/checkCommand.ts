/** `fuchsiactl check`: validates a base file with its overlays. */
import { type Finding, formatFinding } from '@fuchsiaworks/kernel'
import { checkConfig, hasErrors } from '@fuchsiaworks/settings'
import { type CommandIo, EXIT, type ExitCode, readTextFile } from '../io/commandIo.js'

const formatSummary = (findings: readonly Finding[]): string => {
  const errors = findings.filter(finding => finding.severity === 'error').length
  return findings.length === 0 ? 'no findings' : `errors: ${errors}, warnings: ${findings.length - errors}`
}

/**
 * Validates configuration files and prints all findings.
 *
 * @param io - output streams
 * @param base - path of the base file
 * @param overlays - paths of the overlays
 * @returns `EXIT.findings` if there is an error, `EXIT.ok` if there are only warnings
 */
export const checkCommand = async (io: CommandIo, base: string, overlays: readonly string[]): Promise<ExitCode> => {
  const overlayFiles = await Promise.all(overlays.map(readTextFile))
  const { findings } = checkConfig(await readTextFile(base), overlayFiles)
  for (const finding of findings) io.out(formatFinding(finding))
  io.out(formatSummary(findings))
  return hasErrors(findings) ? EXIT.findings : EXIT.ok
}

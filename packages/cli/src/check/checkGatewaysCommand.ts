/** `fuchsiactl check --gateway`: validates settings files of gateways. */
import { FindingsError, formatFinding } from '@fuchsiaworks/kernel'
import { parseGatewaySettings } from '@fuchsiaworks/settings'
import { type CommandIo, EXIT, type ExitCode, readTextFile } from '../io/commandIo.js'

/**
 * Validates settings files of gateways and prints all findings.
 *
 * @param io - output streams
 * @param files - paths of the files
 * @returns `EXIT.findings` if there are findings
 */
export const checkGatewaysCommand = async (io: CommandIo, files: readonly string[]): Promise<ExitCode> => {
  let count = 0
  for (const file of files) {
    try {
      parseGatewaySettings(await readTextFile(file))
    } catch (err) {
      if (!(err instanceof FindingsError)) throw err
      count += err.findings.length
      for (const finding of err.findings) io.out(formatFinding(finding))
    }
  }
  io.out(count === 0 ? 'no findings' : `findings: ${count}`)
  return count === 0 ? EXIT.ok : EXIT.findings
}

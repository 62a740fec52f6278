/** `fuchsiactl check --gateway`: reports every finding of settings of gateways. */
import { FindingsError, formatFinding } from '@fuchsiaworks/kernel'
import { parseGatewaySettings } from '@fuchsiaworks/settings'
import { type CommandIo, EXIT, type ExitCode, readTextFile } from '../io/commandIo.js'

/**
 * Checks settings files of gateways.
 *
 * @param io - where findings go
 * @param files - paths
 * @returns findings when there is one
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

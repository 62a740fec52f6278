/** The fuchsiaworks program: runs one router or one agent. */
import '@fuchsiaworks/kernel/logs'
import { keepProcessAlive, runUntilSignal } from '@fuchsiaworks/kernel'
import meow from 'meow'
import { EXIT, type ExitCode, processIo, readText, runCommand, UsageError } from './io/commandIo.js'
import { packageStarters, startProcess } from './process/startProcess.js'

const HELP = `
  Usage
    $ fuchsiaworks router --settings FILE
    $ fuchsiaworks agent --settings FILE

  The first SIGTERM or SIGINT drains the process and ends it; the second ends it at once.

  Exit codes
    0  ended whole   1  the settings have findings, or work was cut   2  wrong usage or failed start
`

const run = async (role: string | undefined, file: string | undefined): Promise<ExitCode> => {
  if (role !== 'router' && role !== 'agent') throw new UsageError('name a role: router or agent')
  if (file === undefined) throw new UsageError('--settings FILE is missing')
  const alive = keepProcessAlive()
  const start = async () => await startProcess(role, await readText(file), packageStarters)
  const whole = await runUntilSignal(start(), process)
  alive.close()
  return whole ? EXIT.ok : EXIT.findings
}

const cli = meow(HELP, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: { settings: { type: 'string' } }
})
process.exit(await runCommand(processIo, async () => await run(cli.input[0], cli.flags.settings)))

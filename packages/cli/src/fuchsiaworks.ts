/** The fuchsiaworks program: runs a router or an agent. */
import '@fuchsiaworks/kernel/logs'
import { keepProcessAlive, runUntilSignal } from '@fuchsiaworks/kernel'
import meow from 'meow'
import { EXIT, type ExitCode, processIo, readTextFile, runCommand, UsageError } from './io/commandIo.js'
import { packageStarters, startProcess } from './process/startProcess.js'

const HELP = `
  Usage
    $ fuchsiaworks router --settings FILE
    $ fuchsiaworks agent --settings FILE

  The first SIGTERM or SIGINT drains the process and then ends it. During the drain, SIGINT ends the process at once;
  another SIGTERM has no effect. During the start, a second signal of either kind ends the process at once.

  Exit codes
    0  drained completely   1  invalid settings, or the drain was cut short   2  wrong usage or failed start
`

const runRole = async (role: string | undefined, file: string | undefined): Promise<ExitCode> => {
  if (role !== 'router' && role !== 'agent') throw new UsageError('missing or unknown role: expected router or agent')
  if (file === undefined) throw new UsageError('missing --settings FILE')
  const keepAliveHandle = keepProcessAlive()
  const start = async () => await startProcess(role, await readTextFile(file), packageStarters)
  const complete = await runUntilSignal(start(), process)
  keepAliveHandle.close()
  return complete ? EXIT.ok : EXIT.findings
}

const cli = meow(HELP, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: { settings: { type: 'string' } }
})
process.exit(await runCommand(processIo, async () => await runRole(cli.input[0], cli.flags.settings)))

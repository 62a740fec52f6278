/** The fuchsiactl program: command line tool for operators. */
import meow from 'meow'
import { checkCommand } from './check/checkCommand.js'
import { checkGatewaysCommand } from './check/checkGatewaysCommand.js'
import { readTargets } from './fleet/targets.js'
import { gatewaysCommand } from './gateways/gatewaysCommand.js'
import { type CommandIo, type ExitCode, processIo, runCommand, UsageError } from './io/commandIo.js'
import { loadCommand } from './load/loadCommand.js'
import { showCommand } from './show/showCommand.js'
import { statusCommand } from './status/statusCommand.js'
import { timelineCommand, type TimelineFormat } from './timeline/timelineCommand.js'

const HELP = `
  Usage
    $ fuchsiactl check BASE [--site OVERLAY]...
    $ fuchsiactl check --gateway FILE...
    $ fuchsiactl gateways METRICS-URL...
    $ fuchsiactl show BASE [--site OVERLAY] [--json]
    $ fuchsiactl status PROCESSES [--json]
    $ fuchsiactl load PROCESSES [--json]
    $ fuchsiactl timeline PROCESSES (--request ID | --since 30s) [--json | --format mermaid]

  Processes
    --admin URL --key KEY   URL of an administration API, may be repeated; one key for all of them
    --settings FILE         settings of a process, may be repeated; URL and key are read from it
    The key may also be given in the environment variable FUCHSIA_ADMIN_KEY.

  Exit codes
    0  ok   1  findings   2  wrong usage, or a process that can't be reached
`

const cli = meow(HELP, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    site: { type: 'string', isMultiple: true, default: [] },
    gateway: { type: 'string', isMultiple: true, default: [] },
    admin: { type: 'string', isMultiple: true, default: [] },
    settings: { type: 'string', isMultiple: true, default: [] },
    key: { type: 'string' },
    request: { type: 'string' },
    since: { type: 'string' },
    format: { type: 'string', choices: ['table', 'json', 'mermaid'], default: 'table' },
    json: { type: 'boolean', default: false }
  }
})

const requireBase = (base: string | undefined): string => {
  if (base === undefined) throw new UsageError('missing argument BASE (path of the base file)')
  return base
}

const runSubcommand = async (io: CommandIo): Promise<ExitCode> => {
  const [command, base] = cli.input
  const { site, gateway, admin, settings, request, since, json } = cli.flags
  const targetsFromFlags = async () => await readTargets({ admin, settings, key: cli.flags.key ?? process.env['FUCHSIA_ADMIN_KEY'] })
  switch (command) {
    case 'check':
      if (gateway.length > 0) return await checkGatewaysCommand(io, gateway)
      return await checkCommand(io, requireBase(base), site)
    case 'show':
      if (site.length > 1) throw new UsageError('show accepts at most one --site OVERLAY')
      return await showCommand(io, requireBase(base), site[0], json)
    case 'status':
      return await statusCommand(io, await targetsFromFlags(), json)
    case 'gateways':
      return await gatewaysCommand(io, cli.input.slice(1))
    case 'load':
      return await loadCommand(io, await targetsFromFlags(), json)
    case 'timeline': {
      const format = json ? 'json' : cli.flags.format as TimelineFormat
      return await timelineCommand(io, await targetsFromFlags(), { request, since, format })
    }
    default:
      throw new UsageError(command === undefined ? HELP : `unknown command "${command}"; see fuchsiactl --help`)
  }
}

process.exitCode = await runCommand(processIo, async () => await runSubcommand(processIo))

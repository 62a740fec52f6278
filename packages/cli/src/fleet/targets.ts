/** Selection of the processes that a command queries. */
import { parseSettings } from '@fuchsiaworks/settings'
import { readTextFile, UsageError } from '../io/commandIo.js'

/** The administration API of one process. */
export interface Target {
  /** URL or settings file as given on the command line. */
  readonly name: string
  readonly url: string
  readonly key: string
}

/** Command line flags that select processes. */
export interface TargetFlags {
  readonly admin: readonly string[]
  readonly settings: readonly string[]
  readonly key: string | undefined
}

const targetFromAddress = (address: string, key: string | undefined): Target => {
  if (key === undefined) throw new UsageError('--admin requires --key or the environment variable FUCHSIA_ADMIN_KEY')
  if (!URL.canParse(address)) throw new UsageError(`--admin: "${address}" is not a valid URL`)
  return { name: address, url: address, key }
}

/** Puts an IPv6 address into brackets, as URLs require. */
const formatUrlHost = (host: string): string => host.includes(':') ? `[${host}]` : host

const targetFromSettings = async (file: string): Promise<Target> => {
  const { admin } = parseSettings(await readTextFile(file))
  if (admin.port === 0) throw new UsageError(`${file}: admin.port is 0, so the actual port is unknown; use --admin instead`)
  return { name: file, url: `http://${formatUrlHost(admin.host)}:${admin.port}`, key: admin.key }
}

/**
 * Returns the processes selected by the flags: those of `--admin` in the order given, then those of `--settings`.
 *
 * @param flags - the flags
 * @throws UsageError if no process is selected
 */
export const readTargets = async (flags: TargetFlags): Promise<Target[]> => {
  const targets = [
    ...flags.admin.map(address => targetFromAddress(address, flags.key)),
    ...await Promise.all(flags.settings.map(targetFromSettings))
  ]
  if (targets.length === 0) throw new UsageError('no process given; use --admin URL or --settings FILE')
  return targets
}

/** Which processes a command asks. */
import { parseSettings } from '@fuchsiaworks/settings'
import { readTextFile, UsageError } from '../io/commandIo.js'

/** The administration API of one process. */
export interface Target {
  /** How the operator named it. */
  readonly name: string
  readonly url: string
  readonly key: string
}

/** Flags that name processes. */
export interface TargetFlags {
  readonly admin: readonly string[]
  readonly settings: readonly string[]
  readonly key: string | undefined
}

const targetFromAddress = (address: string, key: string | undefined): Target => {
  if (key === undefined) throw new UsageError('--admin needs --key')
  if (!URL.canParse(address)) throw new UsageError(`--admin: "${address}" is not an address`)
  return { name: address, url: address, key }
}

/** Brackets an IPv6 number, as addresses want it. */
const formatUrlHost = (host: string): string => host.includes(':') ? `[${host}]` : host

const targetFromSettings = async (file: string): Promise<Target> => {
  const { admin } = parseSettings(await readTextFile(file))
  if (admin.port === 0) throw new UsageError(`${file}: admin.port is 0, so the port is not known; use --admin`)
  return { name: file, url: `http://${formatUrlHost(admin.host)}:${admin.port}`, key: admin.key }
}

/**
 * Reads the flags that name processes.
 *
 * @param flags - the flags
 * @returns the processes in the order given
 * @throws UsageError when none is named
 */
export const readTargets = async (flags: TargetFlags): Promise<Target[]> => {
  const targets = [
    ...flags.admin.map(address => targetFromAddress(address, flags.key)),
    ...await Promise.all(flags.settings.map(targetFromSettings))
  ]
  if (targets.length === 0) throw new UsageError('name processes by --admin URL or --settings FILE')
  return targets
}

/** Starts the process that the settings describe. */
import { assertNever, FuchsiaError, type RunningProcess, setLogLevel } from '@fuchsiaworks/kernel'
import { type AgentSettings, type NamedText, parseSettings, type ProcessSettings, type RouterSettings } from '@fuchsiaworks/settings'

/** What starts each role. */
export interface RoleStarters {
  readonly router: (settings: RouterSettings) => Promise<RunningProcess>
  readonly agent: (settings: AgentSettings) => Promise<RunningProcess>
}

/** The settings are for another role than the command names. */
export class WrongRoleError extends FuchsiaError {
  /**
   * @param file - the settings file
   * @param expected - role of the command
   * @param actual - role in the file
   */
  constructor (file: string, expected: string, actual: string) {
    super('wrong-role', `${file}: the settings are for a process of role "${actual}", not "${expected}"`)
  }
}

/** Loads only the package of the role that runs. */
export const packageStarters: RoleStarters = {
  router: async settings => {
    const { startRouter } = await import('@fuchsiaworks/router')
    return await startRouter(settings)
  },
  agent: async settings => {
    const { startAgent } = await import('@fuchsiaworks/agent')
    return await startAgent(settings)
  }
}

const startRole = async (settings: ProcessSettings, starters: RoleStarters): Promise<RunningProcess> => {
  switch (settings.role) {
    case 'router':
      return await starters.router(settings)
    case 'agent':
      return await starters.agent(settings)
    default:
      return assertNever(settings)
  }
}

/**
 * Reads settings and starts the process.
 *
 * @param role - role that the command names
 * @param source - the settings
 * @param starters - what starts each role
 * @returns the running process
 * @throws FindingsError for wrong settings, WrongRoleError for those of the other role
 */
export const startProcess = async (role: ProcessSettings['role'], source: NamedText, starters: RoleStarters): Promise<RunningProcess> => {
  const settings = parseSettings(source)
  if (settings.role !== role) throw new WrongRoleError(source.name, role, settings.role)
  setLogLevel(settings.logLevel)
  return await startRole(settings, starters)
}

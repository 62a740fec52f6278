/** Starts a router or an agent from its settings. */
import { assertNever, FuchsiaError, type RunningProcess, setLogLevel } from '@fuchsiaworks/kernel'
import { type AgentSettings, type NamedText, parseSettings, type ProcessSettings, type RouterSettings } from '@fuchsiaworks/settings'

/** Start function of each role. */
export interface RoleStarters {
  readonly router: (settings: RouterSettings) => Promise<RunningProcess>
  readonly agent: (settings: AgentSettings) => Promise<RunningProcess>
}

/** The role in the settings differs from the role on the command line. */
export class WrongRoleError extends FuchsiaError {
  /**
   * @param file - the settings file
   * @param expected - role on the command line
   * @param actual - role in the settings file
   */
  constructor (file: string, expected: string, actual: string) {
    super('wrong-role', `${file}: the settings are for a process of role "${actual}", not "${expected}"`)
  }
}

/** Start functions that import only the package of the role being started. */
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
 * Parses settings and starts the process.
 *
 * @param role - role on the command line
 * @param source - text and name of the settings file
 * @param starters - start function of each role
 * @throws FindingsError if the settings are invalid, WrongRoleError if they are for the other role
 */
export const startProcess = async (role: ProcessSettings['role'], source: NamedText, starters: RoleStarters): Promise<RunningProcess> => {
  const settings = parseSettings(source)
  if (settings.role !== role) throw new WrongRoleError(source.name, role, settings.role)
  setLogLevel(settings.logLevel)
  return await startRole(settings, starters)
}

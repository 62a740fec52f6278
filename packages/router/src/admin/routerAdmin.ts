/** What a router answers to operators. */
import type { AdminResponse, AdminHandlers } from '@fuchsiaworks/admin'
import { type AdminSources, commonHandlers, type RoleStatus } from '@fuchsiaworks/fleet'
import type { ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import { type AdmissionDb, serviceBacklog } from '@fuchsiaworks/policy'
import type { CallerServer } from '../callers/callerServer.js'
import type { AgentStates } from '../links/agentStates.js'
import type { RequestJournal } from '../requests/requestJournal.js'
import type { RequestTable } from '../requests/requestTable.js'
import type { QuarantineService } from '../quarantine/quarantineService.js'

/** Services of a router that its handlers read. */
export interface RouterAdminSources extends AdminSources {
  readonly callers: CallerServer
  readonly table: RequestTable
  readonly journal: RequestJournal
  readonly states: AgentStates
  readonly quarantine: QuarantineService
  readonly admission: AdmissionDb
}

const reasonsOf = ({ callers, configuration, membership }: RouterAdminSources): string[] => {
  const reasons: string[] = []
  if (configuration.current === undefined) reasons.push('no configuration is in force')
  else if (membership.state !== 'open') reasons.push(`the state of this host is ${membership.state}`)
  if (callers.draining) reasons.push('the router drains')
  return reasons
}

const waitingOf = ({ admission, context }: RouterAdminSources, service: ServiceId, workspace: WorkspaceId): { waiting: number, oldestWait: number } => {
  const entry = serviceBacklog(admission, service, context.clock.now()).find(candidate => candidate.workspace === workspace)
  return { waiting: entry?.waiting ?? 0, oldestWait: entry?.oldestWait ?? 0 }
}

const upstreamsOf = ({ configuration, states }: RouterAdminSources): AdminResponse<'upstreams'> => {
  const config = configuration.current?.config
  if (config === undefined) return { upstreams: [] }
  const told = new Map([...states.all()].map(([, state]) => [state.upstream, state]))
  return {
    upstreams: (Object.keys(config.upstreams) as UpstreamId[]).flatMap(upstream => {
      const configured = config.upstreams[upstream]
      if (configured === undefined) return []
      const { service, zone, host } = configured
      const { state, reason, limit, running } = told.get(upstream) ?? { state: 'unlinked' as const, reason: 'no link', limit: 0, running: 0 }
      return [{ upstream, service, zone, host, state, reason, limit, running }]
    })
  }
}

const refusalsOf = ({ journal, quarantine }: RouterAdminSources): AdminResponse<'refusals'> => ({
  refusals: journal.refusals.all(),
  quarantined: quarantine.refused()
})

const limitsOf = ({ configuration, table }: RouterAdminSources): AdminResponse<'limits'> => {
  const limits = configuration.current?.config.limits
  if (limits === undefined) return { limits: [] }
  return {
    limits: [
      { name: 'openRequests', unit: 'requests', limit: limits.openRequests, used: table.size },
      { name: 'connectionsPerWorkspace', unit: 'requests', limit: limits.connectionsPerWorkspace },
      { name: 'headerBytes', unit: 'bytes', limit: limits.headerBytes },
      { name: 'bodyBytes', unit: 'bytes', limit: limits.bodyBytes }
    ]
  }
}

/**
 * Makes the handlers of a router.
 *
 * @param sources - services of the process
 * @returns handlers by route name
 */
export const routerHandlers = (sources: RouterAdminSources): AdminHandlers => {
  const role: RoleStatus = {
    reasons: () => reasonsOf(sources),
    draining: () => sources.callers.draining,
    waiting: () => sources.admission.size,
    running: () => sources.table.size - sources.admission.size,
    waitingOf: (service, workspace) => waitingOf(sources, service, workspace),
    runningOf: (service, workspace) => sources.table.runningOf(service, workspace)
  }
  return {
    ...commonHandlers(sources, role),
    upstreams: () => upstreamsOf(sources),
    refusals: () => refusalsOf(sources),
    limits: () => limitsOf(sources)
  }
}

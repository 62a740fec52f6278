/** Handlers of the administration API that are specific to routers. */
import type { AdminResponse, AdminHandlers } from '@fuchsiaworks/admin'
import { type AdminSources, commonHandlers, type RoleStatus } from '@fuchsiaworks/fleet'
import type { ServiceId, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import { type AdmissionDb, serviceBacklog } from '@fuchsiaworks/policy'
import type { CallerServer } from '../callers/callerServer.js'
import type { AgentStates } from '../links/agentStates.js'
import type { RequestTelemetry } from '../requests/requestTelemetry.js'
import type { RequestTable } from '../requests/requestTable.js'
import type { QuarantineService } from '../quarantine/quarantineService.js'

/** Services read by the handlers. */
export interface RouterAdminSources extends AdminSources {
  readonly callers: CallerServer
  readonly requests: RequestTable
  readonly telemetry: RequestTelemetry
  readonly agentStates: AgentStates
  readonly quarantine: QuarantineService
  readonly admissionDb: AdmissionDb
}

const notReadyReasons = ({ callers, configuration, membership }: RouterAdminSources): string[] => {
  const reasons: string[] = []
  if (configuration.current === undefined) reasons.push('no configuration is in force')
  else if (membership.workState !== 'open') reasons.push(`the state of this host is ${membership.workState}`)
  if (callers.draining) reasons.push('the router drains')
  return reasons
}

const queuedRequestsOf = ({ admissionDb, context }: RouterAdminSources, service: ServiceId, workspace: WorkspaceId): { waiting: number, oldestWait: number } => {
  const entry = serviceBacklog(admissionDb, service, context.clock.now()).find(candidate => candidate.workspace === workspace)
  return { waiting: entry?.waiting ?? 0, oldestWait: entry?.oldestWait ?? 0 }
}

const listUpstreams = ({ configuration, agentStates }: RouterAdminSources): AdminResponse<'upstreams'> => {
  const config = configuration.current?.config
  if (config === undefined) return { upstreams: [] }
  const reported = new Map([...agentStates.entries()].map(([, state]) => [state.upstream, state]))
  return {
    upstreams: (Object.keys(config.upstreams) as UpstreamId[]).flatMap(upstream => {
      const configured = config.upstreams[upstream]
      if (configured === undefined) return []
      const { service, zone, host } = configured
      const { state, reason, limit, running } = reported.get(upstream) ?? { state: 'unlinked' as const, reason: 'no link', limit: 0, running: 0 }
      return [{ upstream, service, zone, host, state, reason, limit, running }]
    })
  }
}

const listRefusals = ({ telemetry, quarantine }: RouterAdminSources): AdminResponse<'refusals'> => ({
  refusals: telemetry.refusals.list(),
  quarantined: quarantine.refusedRequests()
})

const listLimits = ({ configuration, requests }: RouterAdminSources): AdminResponse<'limits'> => {
  const limits = configuration.current?.config.limits
  if (limits === undefined) return { limits: [] }
  return {
    limits: [
      { name: 'openRequests', unit: 'requests', limit: limits.openRequests, used: requests.size },
      { name: 'connectionsPerWorkspace', unit: 'requests', limit: limits.connectionsPerWorkspace },
      { name: 'headerBytes', unit: 'bytes', limit: limits.headerBytes },
      { name: 'bodyBytes', unit: 'bytes', limit: limits.bodyBytes }
    ]
  }
}

/**
 * Creates the administration handlers of a router.
 *
 * @param sources - services of the process
 * @returns handlers by route name
 */
export const routerHandlers = (sources: RouterAdminSources): AdminHandlers => {
  const role: RoleStatus = {
    reasons: () => notReadyReasons(sources),
    draining: () => sources.callers.draining,
    waiting: () => sources.admissionDb.size,
    running: () => sources.requests.size - sources.admissionDb.size,
    waitingOf: (service, workspace) => queuedRequestsOf(sources, service, workspace),
    runningOf: (service, workspace) => sources.requests.countRunning(service, workspace)
  }
  return {
    ...commonHandlers(sources, role),
    upstreams: () => listUpstreams(sources),
    refusals: () => listRefusals(sources),
    limits: () => listLimits(sources)
  }
}

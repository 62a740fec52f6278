/** Handlers of the administration API that routers and agents share. */
import type { AdminResponse, AdminHandlers } from '@fuchsiaworks/admin'
import { type ServiceId, formatFinding, logLevel, setLogLevel, type TimeLineEntry, type WorkspaceId } from '@fuchsiaworks/kernel'
import { isLeaving } from '@fuchsiaworks/policy'
import type { ConfigurationService } from '../configuration/configurationService.js'
import type { ProcessContext } from '../context/processContext.js'
import type { FairnessService } from '../fairness/fairnessService.js'
import type { LinkHub } from '../links/linkHub.js'
import type { MembershipService } from '../membership/membershipService.js'

/** Reported revision while no configuration is active. */
const NO_REVISION = -1

/** Services that the shared handlers read. */
export interface AdminSources {
  readonly context: ProcessContext
  readonly hub: LinkHub
  readonly configuration: ConfigurationService
  readonly membership: MembershipService
  readonly fairness: FairnessService
}

/** Parts of the status that depend on the role of the process. */
export interface RoleStatus {
  /** Why the process is not ready; empty when it is. */
  readonly reasons: () => string[]
  readonly draining: () => boolean
  readonly waiting: () => number
  readonly running: () => number
  /** Requests of a workspace that are queued here for a service, and the wait of the oldest in milliseconds. */
  readonly waitingOf: (service: ServiceId, workspace: WorkspaceId) => { readonly waiting: number, readonly oldestWait: number }
  readonly runningOf: (service: ServiceId, workspace: WorkspaceId) => number
}

const statusOf = (sources: AdminSources, role: RoleStatus): AdminResponse<'status'> => {
  const { context, hub, configuration } = sources
  const { settings, identity, clock, timeLine } = context
  const links = [...hub.openLinks()]
  return {
    role: settings.role,
    host: settings.host,
    zone: settings.zone,
    site: settings.site,
    incarnation: identity.incarnation,
    wallMs: clock.wall(),
    uptimeMs: clock.now() - context.startedAt,
    revision: configuration.current?.revision ?? NO_REVISION,
    ready: role.reasons().length === 0,
    draining: role.draining(),
    waiting: role.waiting(),
    running: role.running(),
    linksUp: links.filter(link => link.session.connected).length,
    links: links.length,
    pauses: timeLine.read(entry => entry.event.kind === 'pause-seen').length,
    logLevel: logLevel()
  }
}

const configOf = ({ configuration }: AdminSources): AdminResponse<'config'> => {
  const { current, source, refused, watch } = configuration
  return {
    revision: current?.revision ?? NO_REVISION,
    source: source === undefined ? 'none' : source === 'service' ? 'platform' : 'peer',
    ...(refused === undefined ? {} : { refused: { revision: refused.revision, findings: refused.findings.map(formatFinding) } }),
    ...(watch === undefined ? {} : { watch }),
    config: current?.config ?? null
  }
}

const linksOf = ({ hub, membership }: AdminSources): AdminResponse<'links'> => ({
  links: [...hub.openLinks()].map(({ peer, session }) => ({
    peer: peer.host,
    incarnation: peer.incarnation,
    role: peer.role,
    zone: peer.zone,
    connected: session.connected,
    roundTripMs: session.roundTrip,
    clockOffsetMs: session.clockOffset,
    unconfirmedBytes: session.unconfirmedBytes
  })),
  members: [...membership.hosts].map(([host, { role, candidate, leaving, linked }]) => ({
    host,
    role,
    zone: candidate.zone,
    state: isLeaving(leaving) ? 'leaving' : linked ? 'live' : 'unknown',
    sources: membership.sourcesOf(host)
  }))
})

const workspacesOf = ({ fairness, configuration, context }: AdminSources, role: RoleStatus): AdminResponse<'workspaces'> => {
  const config = configuration.current?.config
  if (config === undefined) return { workspaces: [] }
  const workspaces = (Object.keys(config.services) as ServiceId[]).flatMap(service =>
    (Object.keys(config.workspaces) as WorkspaceId[]).map(workspace => {
      const weight = config.workspaces[workspace]?.weight ?? 1
      const { served, servedLocally } = fairness.servedOf(service, workspace)
      const { waiting, oldestWait } = role.waitingOf(service, workspace)
      return {
        service,
        workspace,
        weight,
        waiting,
        oldestWaitMs: oldestWait,
        runningHere: role.runningOf(service, workspace),
        servedHere: context.identity.role === 'agent' ? servedLocally * weight : 0,
        served: served * weight,
        virtualTime: fairness.db.virtualTime(service, workspace)
      }
    }))
  return { workspaces: workspaces.filter(entry => entry.served > 0 || entry.waiting > 0 || entry.runningHere > 0) }
}

const timelineOf = ({ context, hub }: AdminSources, maxAgeMs: number | undefined, request: string | undefined): AdminResponse<'timeline'> => {
  const wallMs = context.clock.wall()
  const isSelected = ({ at, event }: TimeLineEntry): boolean =>
    (maxAgeMs === undefined || at >= wallMs - maxAgeMs) && (request === undefined || ('request' in event && event.request === request))
  return {
    host: context.settings.host,
    role: context.settings.role,
    wallMs,
    entries: context.timeLine.read(isSelected),
    clocks: [...hub.openLinks()].map(({ peer, session }) => ({
      peer: peer.host, clockOffsetMs: session.clockOffset, roundTripMs: session.roundTrip
    }))
  }
}

/**
 * Creates the handlers that both roles offer.
 *
 * @param sources - services of the process
 * @param role - the parts of the status that depend on the role
 * @returns handlers by route name
 */
export const commonHandlers = (sources: AdminSources, role: RoleStatus): AdminHandlers => ({
  health: () => ({ healthy: true }),
  ready: () => ({ ready: role.reasons().length === 0, reasons: role.reasons() }),
  status: () => statusOf(sources, role),
  config: () => configOf(sources),
  links: () => linksOf(sources),
  workspaces: () => workspacesOf(sources, role),
  timeline: ({ query }) => timelineOf(sources, query.since, query.request),
  logLevel: ({ body }) => {
    setLogLevel(body.level)
    return { level: body.level }
  },
  drain: () => {
    // SIGTERM starts the drain, so that the API and an operator or supervisor take the same path.
    process.kill(process.pid, 'SIGTERM')
    return { draining: true }
  }
})

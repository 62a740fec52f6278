/** Handlers of the administration API of an agent. */
import type { AdminResponse, AdminHandlers } from '@fuchsiaworks/admin'
import { type AdminSources, commonHandlers, type RoleStatus } from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import type { KeyService } from '../keys/keyService.js'
import type { LimitService } from '../limits/limitService.js'
import type { StateAdvertiser } from '../links/stateAdvertiser.js'
import type { RunTable } from '../runs/runTable.js'
import type { Slots } from '../runs/slots.js'

/** Services that the handlers of an agent read. */
export interface AgentAdminSources extends AdminSources {
  readonly limits: LimitService
  readonly runs: RunTable
  readonly slots: Slots
  readonly keys: KeyService
  readonly state: StateAdvertiser
  readonly settings: AgentSettings
}

const notReadyReasonsOf = ({ membership, limits, hub }: AgentAdminSources): string[] => {
  const reasons: string[] = []
  if (membership.workState !== 'open') reasons.push(`the state of this host is ${membership.workState}`)
  if (limits.capacity.state === 'down') reasons.push(`the upstream is down: ${limits.capacity.reason}`)
  if (hub.withRole('router').length === 0) reasons.push('no router is linked')
  return reasons
}

const upstreamsOf = ({ state, settings }: AgentAdminSources): AdminResponse<'upstreams'> => {
  const current = state.current()
  if (current === undefined) return { upstreams: [] }
  const { kind, ...fields } = current
  return { upstreams: [{ ...fields, host: settings.host }] }
}

const limitsOf = ({ limits, slots, keys }: AgentAdminSources): AdminResponse<'limits'> => ({
  limits: [
    { name: 'slots', unit: 'requests', limit: limits.capacity.limit, used: slots.inUse },
    { name: 'reservedSlots', unit: 'requests', limit: limits.capacity.limit, used: slots.reserved },
    { name: 'rememberedKeys', unit: 'keys', limit: keys.maxKeysPerWorkspace, used: keys.size }
  ]
})

/**
 * Creates the handlers of an agent.
 *
 * @param sources - services of the process
 * @returns handlers by route name
 */
export const agentHandlers = (sources: AgentAdminSources): AdminHandlers => {
  const role: RoleStatus = {
    reasons: () => notReadyReasonsOf(sources),
    draining: () => sources.membership.workState === 'leaving',
    waiting: () => 0,
    running: () => sources.runs.size,
    waitingOf: () => ({ waiting: 0, oldestWait: 0 }),
    runningOf: (service, workspace) =>
      [...sources.runs.values()].filter(({ handover }) => handover.service === service && handover.workspace === workspace).length
  }
  return {
    ...commonHandlers(sources, role),
    upstreams: () => upstreamsOf(sources),
    refusals: () => ({ refusals: [], quarantined: [] }),
    limits: () => limitsOf(sources)
  }
}

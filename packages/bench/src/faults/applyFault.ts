/** Injects faults into a running fleet and reverts them. */
import { assertNever } from '@fuchsiaworks/kernel'
import type { Fleet } from '../processes/fleet.js'
import type { FleetProcess } from '../processes/fleetProcess.js'
import type { FaultKind } from './faultTypes.js'
import type { Operator } from './operator.js'

/** Text in a prompt that makes a stand-in engine crash while the fault is active. */
export const CRASH_PROMPT = 'poison-pill'

/** Factor by which an engine is slower during its cold start. */
const COLD_START_SLOWDOWN = 4

const lastOf = <T>(items: readonly T[]): T => {
  const item = items.at(-1)
  if (item === undefined) throw new RangeError('the deployment has no item of this kind')
  return item
}

/** Returns the zone that fault zone-out takes out of service: the last one, which has no router. */
export const zoneToTakeOut = (fleet: Fleet): string => lastOf(fleet.deployment.zones)

/** Returns the upstreams that fault leaving removes: the first one of each service. */
export const upstreamsToRemove = (fleet: Fleet): string[] => fleet.deployment.services.map(service => `${service.id}-1`)

const hostsOf = (fleet: Fleet, upstreams: readonly string[]): string[] =>
  fleet.upstreams.filter(({ id }) => upstreams.includes(id)).map(({ host }) => host)

const targetRouter = (fleet: Fleet): FleetProcess => lastOf(fleet.routers)

const targetAgent = (fleet: Fleet): FleetProcess => lastOf(fleet.agents.slice(0, 1))

/** Returns the relays that fault partition cuts: those between a zone in one half of the zones and a router in the other half. */
const partitionedLinkRelays = (fleet: Fleet): ReturnType<Fleet['network']['linkRelays']> => {
  const { zones, routerZones } = fleet.deployment
  const sideOf = (zone: string): boolean => zones.indexOf(zone) < zones.length / 2
  return fleet.network.linkRelays((zone, router) => sideOf(zone) !== sideOf(routerZones[router] ?? ''))
}

const setEngineKnobs = async (fleet: Fleet, knobs: object): Promise<void> => {
  const engines = fleet.upstreams.filter(({ service }) => service.kind === 'engine')
  await Promise.all(engines.map(async ({ control }) => { await control.updateKnobs(knobs) }))
}

const publishLeaving = async (operator: Operator, upstreams: readonly string[]): Promise<void> => {
  await operator.publish({ leaving: upstreams })
  await operator.fleet.network.publishHosts(hostsOf(operator.fleet, upstreams))
}

const enterColdStart = async (fleet: Fleet): Promise<void> => {
  const engine = fleet.upstreams.find(({ service }) => service.kind === 'engine')
  await engine?.control.updateKnobs({ coldFactor: COLD_START_SLOWDOWN })
  await engine?.control.sendCommand('cold')
}

const serveStaleConfiguration = async (operator: Operator): Promise<void> => {
  const { fleet } = operator
  await operator.publishUnchanged()
  await fleet.configurationService.updateKnobs({ staleRevision: 1 })
  await targetRouter(fleet).kill()
  targetRouter(fleet).restart()
}

/**
 * Injects a fault.
 *
 * @param kind - the fault
 * @param operator - publishes changes of configuration and host list that belong to the fault
 */
export const startFault = async (kind: FaultKind, operator: Operator): Promise<void> => {
  const { fleet } = operator
  switch (kind) {
    case 'none':
    case 'flood': return
    case 'zone-out': return await operator.publish({ zonesOut: [zoneToTakeOut(fleet)] })
    case 'leaving': return await publishLeaving(operator, upstreamsToRemove(fleet))
    case 'router-kill': return await targetRouter(fleet).kill()
    case 'router-restart':
      await targetRouter(fleet).kill()
      return targetRouter(fleet).restart()
    case 'router-stop': return await targetRouter(fleet).close()
    case 'router-pause': return targetRouter(fleet).signal('SIGSTOP')
    case 'agent-kill': return await targetAgent(fleet).kill()
    case 'agent-stop': return await targetAgent(fleet).close()
    case 'agent-pause': return targetAgent(fleet).signal('SIGSTOP')
    case 'config-down': return await fleet.configurationService.updateKnobs({ down: true })
    case 'config-stale': return await serveStaleConfiguration(operator)
    case 'engine-cold': return await enterColdStart(fleet)
    case 'engine-crash-request': return await setEngineKnobs(fleet, { crashOn: CRASH_PROMPT })
    case 'silent-links':
      await Promise.all(fleet.network.linkRelays(() => true).map(async relay => { await relay.sendCommand('silence') }))
      return
    case 'partition':
      await Promise.all(partitionedLinkRelays(fleet).map(async relay => { await relay.updateKnobs({ mode: 'cut' }) }))
      return
    default: return assertNever(kind)
  }
}

/**
 * Reverts a fault; does nothing for faults that are over by themselves.
 *
 * @param kind - the fault
 * @param operator - publishes changes of configuration and host list that belong to the fault
 */
export const endFault = async (kind: FaultKind, operator: Operator): Promise<void> => {
  const { fleet } = operator
  switch (kind) {
    case 'none':
    case 'flood':
    case 'router-restart':
    case 'engine-cold':
    case 'silent-links': return
    case 'zone-out': return await operator.publish({ zonesOut: [] })
    case 'leaving': return await publishLeaving(operator, [])
    case 'router-kill':
    case 'router-stop': return targetRouter(fleet).restart()
    case 'router-pause': return targetRouter(fleet).signal('SIGCONT')
    case 'agent-kill':
    case 'agent-stop': return targetAgent(fleet).restart()
    case 'agent-pause': return targetAgent(fleet).signal('SIGCONT')
    case 'config-down': return await fleet.configurationService.updateKnobs({ down: false })
    case 'config-stale': return await fleet.configurationService.updateKnobs({ staleRevision: 0 })
    case 'engine-crash-request': return await setEngineKnobs(fleet, { crashOn: '' })
    case 'partition':
      await Promise.all(partitionedLinkRelays(fleet).map(async relay => { await relay.updateKnobs({ mode: 'pass' }) }))
      return
    default: return assertNever(kind)
  }
}

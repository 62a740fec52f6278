/** Brings faults about and takes them back. */
import { assertNever } from '@fuchsiaworks/kernel'
import type { Fleet } from '../processes/fleet.js'
import type { Member } from '../processes/member.js'
import type { FaultKind } from './faultTypes.js'
import type { Operators } from './operators.js'

/** Text in a prompt that ends an engine. */
export const CRASH_TEXT = 'poison-pill'

/** Factor on the times of an engine that has turned cold. */
const COLD_FACTOR = 4

const last = <T>(items: readonly T[]): T => {
  const item = items.at(-1)
  if (item === undefined) throw new RangeError('the deployment has none')
  return item
}

/** The zone that operators take out: the last, which holds no router. */
export const zoneTakenOut = (fleet: Fleet): string => last(fleet.deployment.zones)

/** The upstreams that leave: the first of each service. */
export const leavingUpstreams = (fleet: Fleet): string[] => fleet.deployment.services.map(service => `${service.id}-1`)

const hostsOf = (fleet: Fleet, upstreams: readonly string[]): string[] =>
  fleet.upstreams.filter(({ id }) => upstreams.includes(id)).map(({ host }) => host)

const faultyRouter = (fleet: Fleet): Member => last(fleet.routers)

const faultyAgent = (fleet: Fleet): Member => last(fleet.agents.slice(0, 1))

/** A split fleet: routers and zones on the two sides of the cut see only their own side. */
const splitLinks = (fleet: Fleet): ReturnType<Fleet['network']['links']> => {
  const { zones, routerZones } = fleet.deployment
  const sideOf = (zone: string): boolean => zones.indexOf(zone) < zones.length / 2
  return fleet.network.links((zone, router) => sideOf(zone) !== sideOf(routerZones[router] ?? ''))
}

const setEngines = async (fleet: Fleet, knobs: object): Promise<void> => {
  const engines = fleet.upstreams.filter(({ service }) => service.kind === 'engine')
  await Promise.all(engines.map(async ({ control }) => { await control.set(knobs) }))
}

const leave = async (operators: Operators, upstreams: readonly string[]): Promise<void> => {
  await operators.publish({ leaving: upstreams })
  await operators.fleet.network.publishHosts(hostsOf(operators.fleet, upstreams))
}

const turnCold = async (fleet: Fleet): Promise<void> => {
  const engine = fleet.upstreams.find(({ service }) => service.kind === 'engine')
  await engine?.control.set({ coldFactor: COLD_FACTOR })
  await engine?.control.order('cold')
}

const goStale = async (operators: Operators): Promise<void> => {
  const { fleet } = operators
  await operators.republish()
  await fleet.configuration.set({ staleRevision: 1 })
  await faultyRouter(fleet).kill()
  faultyRouter(fleet).restart()
}

/**
 * Brings a fault about.
 *
 * @param kind - which
 * @param operators - publish for it
 */
export const startFault = async (kind: FaultKind, operators: Operators): Promise<void> => {
  const { fleet } = operators
  switch (kind) {
    case 'none':
    case 'flood': return
    case 'zone-out': return await operators.publish({ zonesOut: [zoneTakenOut(fleet)] })
    case 'leaving': return await leave(operators, leavingUpstreams(fleet))
    case 'router-kill': return await faultyRouter(fleet).kill()
    case 'router-restart':
      await faultyRouter(fleet).kill()
      return faultyRouter(fleet).restart()
    case 'router-stop': return await faultyRouter(fleet).close()
    case 'router-pause': return faultyRouter(fleet).signal('SIGSTOP')
    case 'agent-kill': return await faultyAgent(fleet).kill()
    case 'agent-stop': return await faultyAgent(fleet).close()
    case 'agent-pause': return faultyAgent(fleet).signal('SIGSTOP')
    case 'config-down': return await fleet.configuration.set({ down: true })
    case 'config-stale': return await goStale(operators)
    case 'engine-cold': return await turnCold(fleet)
    case 'engine-crash-request': return await setEngines(fleet, { crashOn: CRASH_TEXT })
    case 'silent-links':
      await Promise.all(fleet.network.links(() => true).map(async relay => { await relay.order('silence') }))
      return
    case 'partition':
      await Promise.all(splitLinks(fleet).map(async relay => { await relay.set({ mode: 'cut' }) }))
      return
    default: return assertNever(kind)
  }
}

/**
 * Takes a fault back.
 *
 * @param kind - which
 * @param operators - publish for it
 */
export const endFault = async (kind: FaultKind, operators: Operators): Promise<void> => {
  const { fleet } = operators
  switch (kind) {
    case 'none':
    case 'flood':
    case 'router-restart':
    case 'engine-cold':
    case 'silent-links': return
    case 'zone-out': return await operators.publish({ zonesOut: [] })
    case 'leaving': return await leave(operators, [])
    case 'router-kill':
    case 'router-stop': return faultyRouter(fleet).restart()
    case 'router-pause': return faultyRouter(fleet).signal('SIGCONT')
    case 'agent-kill':
    case 'agent-stop': return faultyAgent(fleet).restart()
    case 'agent-pause': return faultyAgent(fleet).signal('SIGCONT')
    case 'config-down': return await fleet.configuration.set({ down: false })
    case 'config-stale': return await fleet.configuration.set({ staleRevision: 0 })
    case 'engine-crash-request': return await setEngines(fleet, { crashOn: '' })
    case 'partition':
      await Promise.all(splitLinks(fleet).map(async relay => { await relay.set({ mode: 'pass' }) }))
      return
    default: return assertNever(kind)
  }
}

/** The network between the processes: a relay for each pair of zone and router, a host list for each zone. */
import type { ListedHost, StandinSpec } from '@fuchsiaworks/standins'
import { type Deployment, listUpstreams, routerHost } from '../deployment/deploymentTypes.js'
import type { StandinControl, StandinProcess } from './standinProcess.js'

/** Ports of one router. */
export interface RouterPorts {
  readonly callers: number
  readonly links: number
  readonly admin: number
}

/** Milliseconds by which the host list is late. */
const HOST_LIST_LAG_MS = 1000

const linkRelayName = (zone: string, router: number): string => `link-${zone}-${router}`
const callerRelayName = (router: number): string => `caller-${router}`
const hostListName = (zone: string): string => `hosts-${zone}`

/** What the processes of one zone see of the others. */
export class Network {
  /**
   * @param deployment - the deployment
   * @param ports - ports of the routers
   * @param process - the process that holds relays and host lists
   */
  constructor (readonly deployment: Deployment, readonly ports: readonly RouterPorts[], readonly process: StandinProcess) {}

  /** Names the relays and host lists to start, before the routers are. */
  static createStandinSpecs (deployment: Deployment, ports: readonly RouterPorts[], relayPorts: ReadonlyMap<string, number>): Record<string, StandinSpec> {
    const specs: Record<string, StandinSpec> = {}
    const relay = (name: string, port: number, delay: number): void => {
      specs[name] = { kind: 'delay', port: relayPorts.get(name) ?? 0, target: { host: '127.0.0.1', port }, knobs: { delay } }
    }
    ports.forEach((port, router) => {
      relay(callerRelayName(router), port.callers, deployment.callerDelay)
      for (const zone of deployment.zones) relay(linkRelayName(zone, router), port.links, deployment.linkDelay)
    })
    for (const zone of deployment.zones) {
      const hosts = createHostList(deployment, router => relayPorts.get(linkRelayName(zone, router)) ?? 0, [])
      specs[hostListName(zone)] = { kind: 'hosts', hosts, knobs: { lag: HOST_LIST_LAG_MS } }
    }
    return specs
  }

  /** Names of all relays, to find ports for them. */
  static listRelayNames (deployment: Deployment): string[] {
    return deployment.routerZones.flatMap((_, router) =>
      [callerRelayName(router), ...deployment.zones.map(zone => linkRelayName(zone, router))])
  }

  /** Address under which callers reach a router. */
  callerUrl (router: number): string {
    return this.#findControl(callerRelayName(router)).url
  }

  /** Address of the host list of a zone. */
  hostsUrl (zone: string): string {
    return this.#findControl(hostListName(zone)).url
  }

  /** Port under which a zone reaches the links of a router. */
  linkPort (zone: string, router: number): number {
    return Number(new URL(this.#findControl(linkRelayName(zone, router)).url).port)
  }

  /** Relays between zones and routers for which `accept` holds. */
  linkRelays (matches: (zone: string, router: number) => boolean): StandinControl[] {
    return this.deployment.routerZones.flatMap((_, router) => this.deployment.zones
      .filter(zone => matches(zone, router))
      .map(zone => this.#findControl(linkRelayName(zone, router))))
  }

  /** Publishes the host list in every zone. */
  async publishHosts (leaving: readonly string[]): Promise<void> {
    for (const zone of this.deployment.zones) {
      const hosts = createHostList(this.deployment, router => this.linkPort(zone, router), leaving)
      await this.#findControl(hostListName(zone)).sendCommand('publish', hosts)
    }
  }

  #findControl (name: string): StandinControl {
    const control = this.process.controls.get(name)
    if (control === undefined) throw new RangeError(`no relay or list "${name}"`)
    return control
  }
}

const createHostList = (deployment: Deployment, linkPortOf: (router: number) => number, leaving: readonly string[]): ListedHost[] => {
  const stateOf = (host: string): 'live' | 'leaving' => leaving.includes(host) ? 'leaving' : 'live'
  const routers = deployment.routerZones.map((zone, router): ListedHost => {
    const host = routerHost(router)
    return { host, zone, role: 'router', address: '127.0.0.1', linkPort: linkPortOf(router), state: stateOf(host) }
  })
  const upstreams = listUpstreams(deployment).map(({ host, zone }): ListedHost =>
    ({ host, zone, role: 'upstream', address: '127.0.0.1', linkPort: 0, state: stateOf(host) }))
  return [...routers, ...upstreams]
}

/** Simulated network: a TCP relay for each pair of zone and router, one for callers of each router, and a host list for each zone. */
import type { ListedHost, StandinSpec } from '@fuchsiaworks/standins'
import { type Deployment, listUpstreams, routerHost } from '../deployment/deploymentTypes.js'
import type { StandinControl, StandinProcess } from './standinProcess.js'

/** Ports that one router listens on. */
export interface RouterPorts {
  readonly callers: number
  readonly links: number
  readonly admin: number
}

/** Delay with which a change becomes visible in the host lists. */
const HOST_LIST_LAG_MS = 1000

const linkRelayName = (zone: string, router: number): string => `link-${zone}-${router}`
const callerRelayName = (router: number): string => `caller-${router}`
const hostListName = (zone: string): string => `hosts-${zone}`

/** Relays and host lists through which processes reach each other. */
export class Network {
  /**
   * @param deployment - the deployment
   * @param ports - ports of the routers, by index
   * @param process - the stand-in process that runs relays and host lists
   */
  constructor (readonly deployment: Deployment, readonly ports: readonly RouterPorts[], readonly process: StandinProcess) {}

  /** Creates the specs of all relays and host lists; they start before the routers do. */
  static createStandinSpecs (deployment: Deployment, ports: readonly RouterPorts[], relayPorts: ReadonlyMap<string, number>): Record<string, StandinSpec> {
    const specs: Record<string, StandinSpec> = {}
    const addRelay = (name: string, targetPort: number, delay: number): void => {
      specs[name] = { kind: 'delay', port: relayPorts.get(name) ?? 0, target: { host: '127.0.0.1', port: targetPort }, knobs: { delay } }
    }
    ports.forEach((routerPorts, router) => {
      addRelay(callerRelayName(router), routerPorts.callers, deployment.callerDelayMs)
      for (const zone of deployment.zones) addRelay(linkRelayName(zone, router), routerPorts.links, deployment.linkDelayMs)
    })
    for (const zone of deployment.zones) {
      const hosts = createHostList(deployment, router => relayPorts.get(linkRelayName(zone, router)) ?? 0, [])
      specs[hostListName(zone)] = { kind: 'hosts', hosts, knobs: { lag: HOST_LIST_LAG_MS } }
    }
    return specs
  }

  /** Lists the names of all relays, each of which needs a port. */
  static listRelayNames (deployment: Deployment): string[] {
    return deployment.routerZones.flatMap((_, router) =>
      [callerRelayName(router), ...deployment.zones.map(zone => linkRelayName(zone, router))])
  }

  /** URL of the relay between callers and a router. */
  callerUrl (router: number): string {
    return this.#findControl(callerRelayName(router)).url
  }

  /** URL of the host list of a zone. */
  hostsUrl (zone: string): string {
    return this.#findControl(hostListName(zone)).url
  }

  /** Port of the relay between a zone and the link port of a router. */
  linkPort (zone: string, router: number): number {
    return Number(new URL(this.#findControl(linkRelayName(zone, router)).url).port)
  }

  /** Returns the link relays of all pairs of zone and router that match. */
  linkRelays (matches: (zone: string, router: number) => boolean): StandinControl[] {
    return this.deployment.routerZones.flatMap((_, router) => this.deployment.zones
      .filter(zone => matches(zone, router))
      .map(zone => this.#findControl(linkRelayName(zone, router))))
  }

  /** Publishes a new host list in every zone, in which these hosts are leaving. */
  async publishHosts (leaving: readonly string[]): Promise<void> {
    for (const zone of this.deployment.zones) {
      const hosts = createHostList(this.deployment, router => this.linkPort(zone, router), leaving)
      await this.#findControl(hostListName(zone)).sendCommand('publish', hosts)
    }
  }

  #findControl (name: string): StandinControl {
    const control = this.process.controls.get(name)
    if (control === undefined) throw new RangeError(`no relay or host list named "${name}"`)
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

/** Starts all processes of a deployment on loopback: configuration service, upstreams, network, routers, agents. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { findPorts, type StandinSpec } from '@fuchsiaworks/standins'
import { type Deployment, type UpstreamShape, listUpstreams, routerHost } from '../deployment/deploymentTypes.js'
import { type ConfigurationChanges, NO_CHANGES, writeDocuments } from '../deployment/documents.js'
import { FleetProcess } from './fleetProcess.js'
import { Network, type RouterPorts } from './network.js'
import { type CommonSettings, formatAgentSettings, loopbackAddress, formatRouterSettings } from './settingsFiles.js'
import { type StandinControl, type StandinProcess, startStandins } from './standinProcess.js'

/** An upstream, and the stand-in process that plays it. */
export interface RunningUpstream extends UpstreamShape {
  readonly control: StandinControl
  readonly process: StandinProcess
}

/** The running processes of a deployment. */
export interface Fleet {
  readonly deployment: Deployment
  readonly routers: readonly FleetProcess[]
  readonly agents: readonly FleetProcess[]
  readonly upstreams: readonly RunningUpstream[]
  readonly configurationService: StandinControl
  readonly network: Network
  /** URLs that callers send to, by index of the router. */
  readonly callerUrls: readonly string[]
  /** Publishes a new revision of the configuration, made of the deployment and these changes. */
  readonly publishConfiguration: (changes: ConfigurationChanges) => Promise<void>
  readonly close: () => Promise<void>
}

const CONFIGURATION_STANDIN = 'configuration'

const createUpstreamSpec = ({ service }: UpstreamShape): StandinSpec => service.kind === 'engine'
  ? { kind: 'engine', knobs: { tokenInterval: service.standinTimeMs, knee: service.slots } }
  : { kind: 'plain', knobs: { busy: service.standinTimeMs, knee: service.slots } }

const startUpstreams = async (folder: string, deployment: Deployment): Promise<RunningUpstream[]> =>
  await Promise.all(listUpstreams(deployment).map(async upstream => {
    const process = await startStandins(folder, upstream.id, { [upstream.id]: createUpstreamSpec(upstream) })
    const control = process.controls.get(upstream.id)
    if (control === undefined) throw new RangeError(`stand-in process did not report upstream "${upstream.id}"`)
    return { ...upstream, control, process }
  }))

const findRouterPorts = async (count: number): Promise<RouterPorts[]> => {
  const ports = await findPorts(count * 3)
  return Array.from({ length: count }, (_, index) => {
    const [callers = 0, links = 0, admin = 0] = ports.slice(index * 3)
    return { callers, links, admin }
  })
}

const startNetwork = async (folder: string, deployment: Deployment): Promise<Network> => {
  const ports = await findRouterPorts(deployment.routerZones.length)
  const names = Network.listRelayNames(deployment)
  const freePorts = await findPorts(names.length)
  const relayPorts = new Map(names.map((name, index) => [name, freePorts[index] ?? 0]))
  return new Network(deployment, ports, await startStandins(folder, 'network', Network.createStandinSpecs(deployment, ports, relayPorts)))
}

/** Writes the settings files of routers and agents and starts their processes. */
class ProcessStarter {
  constructor (readonly folder: string, readonly deployment: Deployment, readonly network: Network, readonly configurationUrl: string) {}

  startRouter (index: number): FleetProcess {
    const ports = this.network.ports[index] ?? { callers: 0, links: 0, admin: 0 }
    const common = this.createCommonSettings(routerHost(index), this.deployment.routerZones[index] ?? '', ports.admin)
    const settingsWithoutSelf = { ...common, routers: common.routers.filter((_, other) => other !== index) }
    return this.startProcess('router', common, ports.callers, formatRouterSettings(this.deployment, settingsWithoutSelf, ports.callers, ports.links))
  }

  startAgent (upstream: RunningUpstream, adminPort: number): FleetProcess {
    const common = this.createCommonSettings(upstream.host, upstream.zone, adminPort)
    return this.startProcess('agent', common, adminPort, formatAgentSettings(this.deployment, common, upstream, upstream.control.url))
  }

  createCommonSettings (host: string, zone: string, adminPort: number): CommonSettings {
    const routers = this.deployment.routerZones.map((_, router) => loopbackAddress(this.network.linkPort(zone, router)))
    return { host, zone, adminPort, routers, configurationUrl: this.configurationUrl, hostsUrl: this.network.hostsUrl(zone) }
  }

  startProcess (role: 'router' | 'agent', common: CommonSettings, port: number, text: string): FleetProcess {
    const file = join(this.folder, `${role}-${common.host}.jsonc`)
    writeFileSync(file, text)
    return new FleetProcess(`${role} ${common.host}`, role, common.zone, file, `http://127.0.0.1:${common.adminPort}`, port)
  }
}

const closeInParallel = async (processes: ReadonlyArray<{ close: () => Promise<void> }>): Promise<void> => {
  await Promise.all(processes.map(async process => { await process.close() }))
}

/**
 * Starts all processes of a deployment.
 *
 * @param deployment - the deployment
 * @returns the running fleet; links between its processes may not be up yet
 */
export const startFleet = async (deployment: Deployment): Promise<Fleet> => {
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiaworks-'))
  process.once('exit', () => { rmSync(folder, { recursive: true, force: true }) })
  const documents = writeDocuments(deployment, NO_CHANGES)
  const configurationProcess = await startStandins(folder, CONFIGURATION_STANDIN, { [CONFIGURATION_STANDIN]: { kind: 'configuration', documents } })
  const configurationService = configurationProcess.controls.get(CONFIGURATION_STANDIN)
  if (configurationService === undefined) throw new RangeError('stand-in process did not report the configuration service')
  const upstreams = await startUpstreams(folder, deployment)
  const network = await startNetwork(folder, deployment)
  const processStarter = new ProcessStarter(folder, deployment, network, configurationService.url)
  const routers = deployment.routerZones.map((_, index) => processStarter.startRouter(index))
  const adminPorts = await findPorts(upstreams.length)
  const agents = upstreams.map((upstream, index) => processStarter.startAgent(upstream, adminPorts[index] ?? 0))
  return {
    deployment,
    routers,
    agents,
    upstreams,
    configurationService,
    network,
    callerUrls: routers.map((_, index) => network.callerUrl(index)),
    publishConfiguration: async changes => { await configurationService.sendCommand('publish', writeDocuments(deployment, changes)) },
    close: async () => {
      await closeInParallel(agents)
      await closeInParallel(routers)
      await closeInParallel([configurationProcess.child, network.process.child, ...upstreams.map(upstream => upstream.process.child)])
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

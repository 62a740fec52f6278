/** Starts a whole deployment on loopback: platform, upstreams, network, routers, agents. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { StandinSpec } from '@fuchsiaworks/standins'
import { type Deployment, type UpstreamShape, listUpstreams, routerHost } from '../deployment/deploymentTypes.js'
import { type Changes, NO_CHANGES, writeDocuments } from '../deployment/documents.js'
import { Member } from './member.js'
import { Network, type RouterPorts } from './network.js'
import { findPorts } from './ports.js'
import { type CommonSettings, agentSettings, loopback, routerSettings } from './settingsFiles.js'
import { type StandinControl, type StandinProcess, startStandins } from './standinProcess.js'

/** An upstream with its stand-in. */
export interface RunningUpstream extends UpstreamShape {
  readonly control: StandinControl
  readonly process: StandinProcess
}

/** A deployment that runs. */
export interface Fleet {
  readonly deployment: Deployment
  readonly routers: readonly Member[]
  readonly agents: readonly Member[]
  readonly upstreams: readonly RunningUpstream[]
  readonly configuration: StandinControl
  readonly network: Network
  /** Addresses for callers, by router. */
  readonly callerUrls: readonly string[]
  /** Publishes the next revision of the configuration. */
  readonly publish: (changes: Changes) => Promise<void>
  readonly close: () => Promise<void>
}

const CONFIGURATION = 'configuration'

const upstreamSpec = ({ service }: UpstreamShape): StandinSpec => service.kind === 'engine'
  ? { kind: 'engine', knobs: { tokenInterval: service.pace, knee: service.slots } }
  : { kind: 'plain', knobs: { busy: service.pace, knee: service.slots } }

const startUpstreams = async (folder: string, deployment: Deployment): Promise<RunningUpstream[]> =>
  await Promise.all(listUpstreams(deployment).map(async upstream => {
    const process = await startStandins(folder, upstream.id, { [upstream.id]: upstreamSpec(upstream) })
    const control = process.controls.get(upstream.id)
    if (control === undefined) throw new RangeError(`no stand-in for ${upstream.id}`)
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
  const names = Network.relayNames(deployment)
  const found = await findPorts(names.length)
  const relayPorts = new Map(names.map((name, index) => [name, found[index] ?? 0]))
  return new Network(deployment, ports, await startStandins(folder, 'network', Network.specs(deployment, ports, relayPorts)))
}

/** Writes settings files and starts the processes of the fleet. */
class Starter {
  constructor (readonly folder: string, readonly deployment: Deployment, readonly network: Network, readonly configurationUrl: string) {}

  router (index: number): Member {
    const ports = this.network.ports[index] ?? { callers: 0, links: 0, admin: 0 }
    const common = this.common(routerHost(index), this.deployment.routerZones[index] ?? '', ports.admin)
    const others = { ...common, routers: common.routers.filter((_, other) => other !== index) }
    return this.start('router', common, ports.callers, routerSettings(this.deployment, others, ports.callers, ports.links))
  }

  agent (upstream: RunningUpstream, adminPort: number): Member {
    const common = this.common(upstream.host, upstream.zone, adminPort)
    return this.start('agent', common, adminPort, agentSettings(this.deployment, common, upstream, upstream.control.url))
  }

  common (host: string, zone: string, adminPort: number): CommonSettings {
    const routers = this.deployment.routerZones.map((_, router) => loopback(this.network.linkPort(zone, router)))
    return { host, zone, adminPort, routers, configurationUrl: this.configurationUrl, hostsUrl: this.network.hostsUrl(zone) }
  }

  start (role: 'router' | 'agent', common: CommonSettings, port: number, text: string): Member {
    const file = join(this.folder, `${role}-${common.host}.jsonc`)
    writeFileSync(file, text)
    return new Member(`${role} ${common.host}`, role, common.zone, file, `http://127.0.0.1:${common.adminPort}`, port)
  }
}

const closeAll = async (things: ReadonlyArray<{ close: () => Promise<void> }>): Promise<void> => {
  await Promise.all(things.map(async thing => { await thing.close() }))
}

/**
 * Starts a deployment.
 *
 * @param deployment - what to start
 * @returns the running fleet; its processes may still be linking
 */
export const startFleet = async (deployment: Deployment): Promise<Fleet> => {
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiaworks-'))
  process.once('exit', () => { rmSync(folder, { recursive: true, force: true }) })
  const documents = writeDocuments(deployment, NO_CHANGES)
  const platform = await startStandins(folder, CONFIGURATION, { [CONFIGURATION]: { kind: 'configuration', documents } })
  const configuration = platform.controls.get(CONFIGURATION)
  if (configuration === undefined) throw new RangeError('no configuration stand-in')
  const upstreams = await startUpstreams(folder, deployment)
  const network = await startNetwork(folder, deployment)
  const starter = new Starter(folder, deployment, network, configuration.url)
  const routers = deployment.routerZones.map((_, index) => starter.router(index))
  const adminPorts = await findPorts(upstreams.length)
  const agents = upstreams.map((upstream, index) => starter.agent(upstream, adminPorts[index] ?? 0))
  return {
    deployment,
    routers,
    agents,
    upstreams,
    configuration,
    network,
    callerUrls: routers.map((_, index) => network.callerUrl(index)),
    publish: async changes => { await configuration.order('publish', writeDocuments(deployment, changes)) },
    close: async () => {
      await closeAll(agents)
      await closeAll(routers)
      await closeAll([platform.child, network.process.child, ...upstreams.map(upstream => upstream.process.child)])
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

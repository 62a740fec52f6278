/** Formats the settings files of routers and agents. */
import type { Deployment, UpstreamShape } from '../deployment/deploymentTypes.js'

/** Shared secret that authenticates links between processes of the bench. */
export const LINK_KEY = 'bench-link-key-0123456789'

/** Key of the administration APIs of the bench. */
export const ADMIN_KEY = 'bench-admin-key-0123456789'

/** A host and port to connect to. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** Settings that routers and agents share. */
export interface CommonSettings {
  readonly host: string
  readonly zone: string
  readonly adminPort: number
  readonly configurationUrl: string
  readonly hostsUrl: string
  /** Link addresses of the routers, as reached from the zone of this process. */
  readonly routers: readonly Address[]
}

/**
 * Returns the loopback address with a port.
 *
 * @param port - the port
 */
export const loopbackAddress = (port: number): Address => ({ host: '127.0.0.1', port })

const createCommonSettings = (deployment: Deployment, settings: CommonSettings): object => ({
  host: settings.host,
  zone: settings.zone,
  site: deployment.name,
  admin: { ...loopbackAddress(settings.adminPort), key: ADMIN_KEY },
  platform: { configuration: `${settings.configurationUrl}/v1/configuration`, hosts: `${settings.hostsUrl}/v1/hosts` },
  routers: settings.routers,
  linkKey: LINK_KEY,
  logLevel: 'warn'
})

/**
 * Formats the settings file of a router.
 *
 * @param deployment - the deployment
 * @param settings - what every process needs
 * @param callerPort - port that callers send to
 * @param linkPort - port that peers link to
 * @returns the text of the settings file
 */
export const formatRouterSettings = (deployment: Deployment, settings: CommonSettings, callerPort: number, linkPort: number): string => {
  const roleSettings = { role: 'router', callers: loopbackAddress(callerPort), links: loopbackAddress(linkPort) }
  return JSON.stringify({ ...createCommonSettings(deployment, settings), ...roleSettings }, undefined, 2)
}

/**
 * Formats the settings file of an agent.
 *
 * @param deployment - the deployment
 * @param settings - what every process needs
 * @param upstream - the upstream that the agent serves
 * @param upstreamUrl - URL of that upstream
 * @returns the text of the settings file
 */
export const formatAgentSettings = (deployment: Deployment, settings: CommonSettings, upstream: UpstreamShape, upstreamUrl: string): string => {
  const roleSettings = { role: 'agent', upstream: upstream.id, upstreamUrl, loadUrl: `${upstreamUrl}/load` }
  return JSON.stringify({ ...createCommonSettings(deployment, settings), ...roleSettings }, undefined, 2)
}

/** Writes the local settings of routers and agents. */
import type { Deployment, UpstreamShape } from '../deployment/deploymentTypes.js'

/** Secret of the links in the bench. */
export const LINK_KEY = 'bench-link-key-0123456789'

/** Key of the administration API in the bench. */
export const ADMIN_KEY = 'bench-admin-key-0123456789'

/** An address on loopback. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** What the settings of every process name. */
export interface CommonSettings {
  readonly host: string
  readonly zone: string
  readonly adminPort: number
  readonly configurationUrl: string
  readonly hostsUrl: string
  /** Link addresses of routers as this process reaches them. */
  readonly routers: readonly Address[]
}

/**
 * Makes an address on loopback.
 *
 * @param port - the port
 * @returns the address
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
 * Writes the settings of a router.
 *
 * @param deployment - the deployment
 * @param settings - what every process needs
 * @param callerPort - port for callers
 * @param linkPort - port for links
 * @returns the text of the settings file
 */
export const formatRouterSettings = (deployment: Deployment, settings: CommonSettings, callerPort: number, linkPort: number): string => {
  const own = { role: 'router', callers: loopbackAddress(callerPort), links: loopbackAddress(linkPort) }
  return JSON.stringify({ ...createCommonSettings(deployment, settings), ...own }, undefined, 2)
}

/**
 * Writes the settings of an agent.
 *
 * @param deployment - the deployment
 * @param settings - what every process needs
 * @param upstream - the upstream that it stands beside
 * @param upstreamUrl - address of the upstream
 * @returns the text of the settings file
 */
export const formatAgentSettings = (deployment: Deployment, settings: CommonSettings, upstream: UpstreamShape, upstreamUrl: string): string => {
  const own = { role: 'agent', upstream: upstream.id, upstreamUrl, loadUrl: `${upstreamUrl}/load` }
  return JSON.stringify({ ...createCommonSettings(deployment, settings), ...own }, undefined, 2)
}

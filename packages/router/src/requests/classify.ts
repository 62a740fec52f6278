/** Works out what a request is: its service, the path below it, and whether it may be repeated. */
import { createHash } from 'node:crypto'
import { asId, type Fingerprint, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetConfig, ServiceConfig } from '@fuchsiaworks/settings'

/** Service and path of a request. */
export interface Route {
  readonly service: ServiceId
  readonly config: ServiceConfig
  /** Path and query below the service. */
  readonly path: string
}

/**
 * Finds the service that a URL names.
 *
 * @param config - the configuration in force
 * @param url - path and query as received
 * @returns the route, or undefined when no service has that name
 */
export const findRoute = (config: FleetConfig, url: string): Route | undefined => {
  const match = /^\/([^/?#]+)(.*)$/s.exec(url)
  if (match === null) return undefined
  const service = asId<ServiceId>(match[1] ?? '')
  if (!Object.hasOwn(config.services, service)) return undefined
  const serviceConfig = config.services[service]
  if (serviceConfig === undefined) return undefined
  const remainder = match[2] ?? ''
  return { service, config: serviceConfig, path: remainder.startsWith('/') ? remainder : `/${remainder}` }
}

const startsWithAny = (path: string, prefixes: readonly string[]): boolean => prefixes.some(prefix => path.startsWith(prefix))

/**
 * Writes a path the one way in which the configuration writes it, so that dot segments, doubled slashes and
 * percent-encoding cannot hide a path that is not idempotent.
 */
const canonicalPath = (path: string): string => {
  const { pathname } = new URL(path.replace(/^\/+/, '/'), 'http://upstream')
  try {
    return decodeURIComponent(pathname).replace(/\/{2,}/g, '/')
  } catch {
    return pathname
  }
}

/**
 * Tells whether a request may run twice without harm.
 *
 * @param service - configuration of the service
 * @param method - HTTP method
 * @param path - path below the service
 * @returns true when the configuration says so
 */
export const isIdempotent = (service: ServiceConfig, method: string, path: string): boolean => {
  const canonical = canonicalPath(path)
  if (startsWithAny(canonical, service.notIdempotentPaths)) return false
  return service.idempotentMethods.includes(method) || startsWithAny(canonical, service.idempotentPaths)
}

/**
 * Digest that two identical requests of one workspace share.
 *
 * @param workspace - whose request it is
 * @param method - HTTP method
 * @param path - service, path and query
 * @param body - first part of the body, or all of it
 * @param length - length of the whole body in bytes, where known
 * @returns the fingerprint
 */
export const fingerprintOf = (workspace: WorkspaceId, method: string, path: string, body: Buffer, length: number): Fingerprint => {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([workspace, method, path, length]))
  hash.update(body)
  return asId(hash.digest('base64url').slice(0, 22))
}

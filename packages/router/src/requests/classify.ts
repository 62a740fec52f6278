/** Classifies requests: service, path, idempotency and fingerprint. */
import { createHash } from 'node:crypto'
import { asId, type Fingerprint, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetConfig, ServiceConfig } from '@fuchsiaworks/settings'

/** Service and path of a request. */
export interface Route {
  readonly service: ServiceId
  readonly config: ServiceConfig
  /** Path and query without the leading service segment. */
  readonly path: string
}

/**
 * Finds the service named by the first segment of a URL.
 *
 * @param config - the active configuration
 * @param url - path and query as received
 * @returns the route; undefined when the service is unknown
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
 * Normalises a path for comparison with the prefixes in the configuration, so that dot segments, repeated slashes and
 * percent-encoding cannot hide a non-idempotent path. A path with invalid percent-encoding is not decoded.
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
 * Decides whether a request is idempotent, so that it may be retried after it may have run.
 *
 * @param service - configuration of the service
 * @param method - HTTP method
 * @param path - path without the service segment
 * @returns true when the configuration declares the method or path idempotent
 */
export const isIdempotent = (service: ServiceConfig, method: string, path: string): boolean => {
  const canonical = canonicalPath(path)
  if (startsWithAny(canonical, service.notIdempotentPaths)) return false
  return service.idempotentMethods.includes(method) || startsWithAny(canonical, service.idempotentPaths)
}

/**
 * Computes a digest that is equal for identical requests of one workspace: SHA-256 truncated to 132 bits.
 *
 * @param workspace - workspace of the caller
 * @param method - HTTP method
 * @param path - service, path and query
 * @param body - buffered prefix of the body
 * @param length - length of the complete body in bytes if known, otherwise of the prefix
 */
export const fingerprintOf = (workspace: WorkspaceId, method: string, path: string, body: Buffer, length: number): Fingerprint => {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([workspace, method, path, length]))
  hash.update(body)
  return asId(hash.digest('base64url').slice(0, 22))
}

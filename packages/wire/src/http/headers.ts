/** Which headers pass between caller and upstream. */
import type { HeaderList } from '../protocol/protocolTypes.js'

/** Headers that belong to one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
])

/** Prefix of the headers that only the fleet itself may set. */
const INTERNAL_PREFIX = 'fuchsiaworks-'

/** Headers that are for the router and not for the upstream. */
const ROUTER_ONLY = new Set(['authorization', 'expect', 'host'])

/** Names that the Connection header declares as hop-by-hop. */
const declaredHopByHop = (headers: HeaderList): Set<string> => {
  const declared = headers.filter(([name]) => name.toLowerCase() === 'connection')
  return new Set(declared.flatMap(([, value]) => value.toLowerCase().split(',').map(part => part.trim())))
}

/**
 * Pairs up Node's flat list of raw headers.
 *
 * @param rawHeaders - names and values in turn
 * @returns the headers in order
 */
export const pairHeaders = (rawHeaders: readonly string[]): HeaderList => {
  const pairs: Array<readonly [string, string]> = []
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) pairs.push([rawHeaders[i] ?? '', rawHeaders[i + 1] ?? ''])
  return pairs
}

/**
 * Drops the headers that must not pass on.
 *
 * @param headers - headers as received
 * @returns headers less hop-by-hop ones and those of the fleet itself
 */
export const endToEndHeaders = (headers: HeaderList): HeaderList => {
  const declared = declaredHopByHop(headers)
  return headers.filter(([name]) => {
    const lower = name.toLowerCase()
    return !HOP_BY_HOP.has(lower) && !declared.has(lower) && !lower.startsWith(INTERNAL_PREFIX)
  })
}

/**
 * Chooses the headers of a caller's request that the upstream receives.
 *
 * @param raw - raw headers of the request
 * @returns the headers for the upstream
 */
export const upstreamHeaders = (raw: readonly string[]): HeaderList =>
  endToEndHeaders(pairHeaders(raw)).filter(([name]) => !ROUTER_ONLY.has(name.toLowerCase()))

/** Header filtering between caller and upstream. */
import type { HeaderList } from '../protocol/protocolTypes.js'

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
])

/** Prefix of the headers that only the fleet itself may set. */
const INTERNAL_PREFIX = 'fuchsiaworks-'

/** Request headers that the router consumes and does not forward to the upstream. */
const ROUTER_ONLY = new Set(['authorization', 'expect', 'host'])

/** Header names that the Connection header lists as hop-by-hop, in lower case. */
const declaredHopByHop = (headers: HeaderList): Set<string> => {
  const declared = headers.filter(([name]) => name.toLowerCase() === 'connection')
  return new Set(declared.flatMap(([, value]) => value.toLowerCase().split(',').map(part => part.trim())))
}

/**
 * Converts Node's flat list of raw headers to name-value pairs.
 *
 * @param rawHeaders - alternating names and values
 * @returns the headers in order
 */
export const pairHeaders = (rawHeaders: readonly string[]): HeaderList => {
  const pairs: Array<readonly [string, string]> = []
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) pairs.push([rawHeaders[i] ?? '', rawHeaders[i + 1] ?? ''])
  return pairs
}

/**
 * Removes the headers that must not be forwarded: hop-by-hop headers, and those that only the fleet may set.
 *
 * @param headers - headers as received
 * @returns the end-to-end headers
 */
export const endToEndHeaders = (headers: HeaderList): HeaderList => {
  const declared = declaredHopByHop(headers)
  return headers.filter(([name]) => {
    const lower = name.toLowerCase()
    return !HOP_BY_HOP.has(lower) && !declared.has(lower) && !lower.startsWith(INTERNAL_PREFIX)
  })
}

/**
 * Selects the headers of a caller's request that are forwarded to the upstream.
 *
 * @param rawHeaders - raw headers of the request, as in Node's `rawHeaders`
 * @returns the headers for the upstream
 */
export const upstreamHeaders = (rawHeaders: readonly string[]): HeaderList =>
  endToEndHeaders(pairHeaders(rawHeaders)).filter(([name]) => !ROUTER_ONLY.has(name.toLowerCase()))

/** Public entry of the upstreams package. */
export * from './client/upstreamClient.js'
export * from './client/upstreamTypes.js'
export type { EmbeddedHead } from './client/embeddedHeads.js'
export { SplicedBodyError, SplicedHeadError } from './client/exchange.js'

/** Public entry of the upstreams package. */
export * from './client/upstreamClient.js'
export * from './client/upstreamTypes.js'
export { SplicedHeadError } from './client/exchange.js'

/** Public entry of the gateway package. */
export * from './port/fleetPort.js'
export * from './port/headerPort.js'
export { encodePeerState } from './peers/peerCodec.js'
export type { PeerState } from './peers/peerTypes.js'
export { updateIntervalMs } from './peers/updateInterval.js'
export * from './process/startGateway.js'
export * from './routing/routingTypes.js'

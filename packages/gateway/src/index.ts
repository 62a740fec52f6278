/** Public entry of the gateway package. */
export * from './port/fleetPort.js'
export * from './port/headerPort.js'
export * from './process/startGateway.js'
export * from './routing/routingTypes.js'

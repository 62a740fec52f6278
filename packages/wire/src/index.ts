/** Public entry of the wire package. */
export * from './protocol/protocolTypes.js'
export * from './session/sessionTypes.js'

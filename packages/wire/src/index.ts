/** Public API of the wire package. */
export * from './http/headers.js'
export * from './protocol/creditBatcher.js'
export * from './protocol/protocolTypes.js'
export * from './session/sessionTypes.js'
export { dialSessions } from './link/dialSessions.js'
export { MAX_MESSAGE_BYTES } from './link/linkConstants.js'
export { listenSessions } from './link/listenSessions.js'
export { MessageTooLargeError } from './session/linkSession.js'

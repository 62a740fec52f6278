/** Definition of the offload policy. */
import { decideConnection } from './offload.js'

/** Choice of the gateway that serves a new connection. */
export const offloadDefinition = { id: 'offload', decide: decideConnection } as const

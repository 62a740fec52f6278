/** Definition of the limits that upstreams announce. */
import type { GatewayView } from '../coldPace/coldPaceTypes.js'
import type { StringHash } from '../keys/rendezvous.js'
import { RequestLimitDb } from './requestLimitDb.js'

/** Limits on the requests of all gateways together to one upstream. */
export const requestLimitDefinition = { id: 'requestLimit', createDb: (hash: StringHash, view: () => GatewayView) => new RequestLimitDb(hash, view) } as const

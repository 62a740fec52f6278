/** The smallest deployment: one router, one engine and one plain service that answer at once. */
import type { Deployment, ServiceShape } from '../deployment/deploymentTypes.js'

/** Slots that do not limit the load of the measurement. */
const MANY_SLOTS = 512

const service = (id: string, kind: ServiceShape['kind']): ServiceShape =>
  ({ id, kind, upstreamZones: ['zone'], slots: MANY_SLOTS, coldSlots: MANY_SLOTS, notIdempotentPaths: [], pace: 0 })

/** One router before one upstream of each kind. */
export const onePair: Deployment = {
  name: 'overhead',
  region: 'here',
  zones: ['zone'],
  routerZones: ['zone'],
  services: [service('engine', 'engine'), service('plain', 'plain')],
  workspaces: [{ id: 'caller', weight: 1, services: { engine: 0.5, plain: 0.5 }, routers: [0], share: 1 }],
  linkDelay: 0,
  callerDelay: 0,
  utcOffsetMinutes: 0
}

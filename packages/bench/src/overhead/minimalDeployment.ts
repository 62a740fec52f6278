/** Smallest deployment: one router, one engine and one plain service, both of which respond without delay. */
import type { Deployment, ServiceShape } from '../deployment/deploymentTypes.js'

/** So many slots that they never limit the load. */
const UNLIMITED_SLOTS = 512

const createService = (id: string, kind: ServiceShape['kind']): ServiceShape =>
  ({ id, kind, upstreamZones: ['zone'], slots: UNLIMITED_SLOTS, coldSlots: UNLIMITED_SLOTS, notIdempotentPaths: [], standinTimeMs: 0 })

/** Deployment with one router in front of one upstream of each kind. */
export const minimalDeployment: Deployment = {
  name: 'overhead',
  region: 'here',
  zones: ['zone'],
  routerZones: ['zone'],
  services: [createService('engine', 'engine'), createService('plain', 'plain')],
  workspaces: [{ id: 'caller', weight: 1, services: { engine: 0.5, plain: 0.5 }, routers: [0], share: 1 }],
  linkDelayMs: 0,
  callerDelayMs: 0,
  utcOffsetMinutes: 0
}

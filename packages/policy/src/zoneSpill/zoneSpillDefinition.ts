/** Definition of the policy on traffic between zones. */
import { decideZoneSpill } from './zoneSpill.js'
import { ZoneSpillDb } from './zoneSpillDb.js'

/** Whether a request may leave its zone. */
export const zoneSpillDefinition = {
  id: 'zone-spill',
  createDb: () => new ZoneSpillDb(),
  decide: decideZoneSpill
} as const

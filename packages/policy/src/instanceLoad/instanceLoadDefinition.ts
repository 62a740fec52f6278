/** Definition of the loads that upstreams report. */
import { estimatePlain } from './instanceLoad.js'
import { InstanceLoadDb } from './instanceLoadDb.js'

/** Speed and momentary slowness of upstreams by their reports. */
export const instanceLoadDefinition = { id: 'instance-load', createDb: () => new InstanceLoadDb(), decide: estimatePlain } as const

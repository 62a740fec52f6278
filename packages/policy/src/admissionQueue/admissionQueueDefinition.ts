/** Definition of the admission queue policy. */
import { decideQueueing, startWaiting } from './admissionQueue.js'
import { AdmissionQueueDb } from './admissionQueueDb.js'
import type { AdmissionQueueConfig } from './admissionQueueTypes.js'

/** Queue of requests that find no free capacity. */
export const admissionQueueDefinition = {
  id: 'admissionQueue',
  createDb: <T>(config: AdmissionQueueConfig) => new AdmissionQueueDb<T>(config),
  decide: decideQueueing,
  start: startWaiting
} as const

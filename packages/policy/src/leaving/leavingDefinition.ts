/** Definition of the leaving policy. */
import { LeavingDb } from './leavingDb.js'

/** Upstreams that have announced their shutdown. */
export const leavingDefinition = {
  id: 'leaving',
  createDb: () => new LeavingDb()
} as const

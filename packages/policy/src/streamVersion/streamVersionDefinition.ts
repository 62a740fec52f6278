/** Definition of the stream version policy. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { StringHash } from '../keys/rendezvous.js'
import { StreamVersionDb } from './streamVersionDb.js'

/** Software versions at which streams may go on. */
export const streamVersionDefinition = {
  id: 'stream-version',
  createDb: (hash: StringHash, now: Millis) => new StreamVersionDb(hash, now)
} as const

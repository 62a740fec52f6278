/** Definition of the tracking of crash-causing requests. */
import { CrashSuspectDb } from './crashSuspectDb.js'

/** Refusal of requests that repeatedly crash their upstreams. */
export const crashSuspectDefinition = { id: 'crasher', createDb: () => new CrashSuspectDb() } as const

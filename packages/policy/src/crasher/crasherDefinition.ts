/** Registers the memory of requests that end upstreams by name. */
import { CrashSuspectDb } from './crasherDb.js'

/** Requests that end the upstreams that run them. */
export const crashSuspectDefinition = { id: 'crasher', createDb: () => new CrashSuspectDb() } as const

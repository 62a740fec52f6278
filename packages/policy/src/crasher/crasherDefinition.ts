/** Registers the memory of requests that end upstreams by name. */
import { CrasherDb } from './crasherDb.js'

/** Requests that end the upstreams that run them. */
export const crasherDefinition = { id: 'crasher', createDb: () => new CrasherDb() } as const

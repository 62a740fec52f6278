/** Definition of the tracking of crash-causing requests. */
import { CrasherDb } from './crasherDb.js'

/** Refusal of requests that repeatedly crash their upstreams. */
export const crasherDefinition = { id: 'crasher', createDb: () => new CrasherDb() } as const

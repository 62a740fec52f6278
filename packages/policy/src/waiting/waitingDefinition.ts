/** Registers the order of waiting by name. */
import { compareWaiting, waitLeft } from './waiting.js'

/** Which requests wait at a router, and in which order. */
export const waitingDefinition = {
  id: 'waiting',
  createDb: () => undefined,
  decide: waitLeft,
  compare: compareWaiting
} as const

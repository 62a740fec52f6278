/** Registers the order of waiting by name. */
import { compareQueued, remainingWait } from './waiting.js'

/** Which requests wait at a router, and in which order. */
export const waitingDefinition = {
  id: 'waiting',
  createDb: () => undefined,
  decide: remainingWait,
  compare: compareQueued
} as const

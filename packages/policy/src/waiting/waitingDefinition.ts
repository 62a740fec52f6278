/** Registers the queueing policy. */
import { compareQueued, remainingWait } from './waiting.js'

/** Queueing policy under its registered name. */
export const waitingDefinition = {
  id: 'waiting',
  createDb: () => undefined,
  decide: remainingWait,
  compare: compareQueued
} as const

/** Registers the decision on failed attempts by name. */
import { decideAttempt } from './attempt.js'

/** What follows a failed attempt at an upstream. */
export const attemptDefinition = {
  id: 'attempt',
  createDb: () => undefined,
  decide: decideAttempt
} as const

/** Registers the policy for failed attempts. */
import { decideAttempt } from './attempt.js'

/** Policy for failed attempts under its registered name. */
export const attemptDefinition = {
  id: 'attempt',
  createDb: () => undefined,
  decide: decideAttempt
} as const

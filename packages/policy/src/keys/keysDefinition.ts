/** Registers the idempotency keys of a home. */
import { answerKeyQuery } from './keyHandoff.js'
import { decideKeys } from './keys.js'
import { KeysDb } from './keysDb.js'

/** The keys policy under its name. */
export const keysDefinition = {
  id: 'keys',
  createDb: (...args: ConstructorParameters<typeof KeysDb>): KeysDb => new KeysDb(...args),
  decide: decideKeys,
  answerKeyQuery
} as const

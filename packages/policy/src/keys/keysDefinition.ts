/** Registers the policy of idempotency keys. */
import { answerKeyQuery } from './keyHandoff.js'
import { decideKeys } from './keys.js'
import { KeysDb } from './keysDb.js'

/** Policy `keys`: its database and decisions. */
export const keysDefinition = {
  id: 'keys',
  createDb: (...args: ConstructorParameters<typeof KeysDb>): KeysDb => new KeysDb(...args),
  decide: decideKeys,
  answerKeyQuery
} as const

/** Registers the decision on overloaded routers by name. */
import { decideOverload } from './overload.js'

/** Routers that cannot catch up. */
export const overloadDefinition = { id: 'overload', decide: decideOverload } as const

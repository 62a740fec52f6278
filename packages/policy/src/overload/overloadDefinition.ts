/** Definition of the overload policy. */
import { decideOverload } from './overload.js'

/** Readiness of an overloaded gateway. */
export const overloadDefinition = { id: 'overload', decide: decideOverload } as const

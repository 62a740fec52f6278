/** Registers the dispatch policy of an agent's slots. */
import { decideDispatch } from './dispatch.js'
import { DispatchDb } from './dispatchDb.js'
import type { DispatchConfig } from './dispatchTypes.js'

/** Milliseconds after which a pull without a reply frees its slot. */
export const PULL_TTL_MS = 2_000

/** Milliseconds without a reply to a pull after which other routers are preferred. */
export const SLOW_ROUTER_AFTER_MS = 100

/** Dispatch policy under its registered name. */
export const dispatchDefinition = {
  id: 'policy.dispatch',
  createDb: (config: DispatchConfig): DispatchDb => new DispatchDb(config),
  decide: decideDispatch
}

/** Starts a router. */
import { createLog, Kernel } from '@fuchsiaworks/kernel'
import { createContext, membershipKey } from '@fuchsiaworks/fleet'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { callerServerKey } from '../callers/callerServer.js'
import { linkServerKey } from '../links/linkServer.js'
import { routerServices } from './routerServices.js'

const log = createLog('router')

/** A router that runs in this process. */
export interface RunningRouter {
  /** Port on which callers are served. */
  readonly callerPort: number
  /** Port on which links are accepted. */
  readonly linkPort: number
  /** Takes no new connections, and settles once every open request has its answer. */
  drain: () => Promise<void>
  /** Ends the router at once. */
  close: () => Promise<void>
}

/**
 * Starts a router.
 *
 * @param settings - local settings
 * @returns the running router; rejects when a port cannot be opened
 */
export const startRouter = async (settings: RouterSettings): Promise<RunningRouter> => {
  const kernel = new Kernel()
  for (const definition of routerServices(await createContext(settings), settings)) kernel.register(definition)
  await kernel.start()
  const callers = kernel.get(callerServerKey)
  const linkPort = kernel.get(linkServerKey).address?.port ?? 0
  log.info('the router runs', { callers: callers.address.port, links: linkPort })
  return {
    callerPort: callers.address.port,
    linkPort,
    drain: async () => {
      log.info('the router drains')
      kernel.get(membershipKey).drain()
      await callers.drain()
    },
    close: async () => {
      await kernel.close()
      log.info('the router has ended')
    }
  }
}

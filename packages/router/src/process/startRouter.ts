/** Entry point of the router process. */
import { createLog, Kernel } from '@fuchsiaworks/kernel'
import { createContext, membershipKey } from '@fuchsiaworks/fleet'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { callerServerKey } from '../callers/callerServer.js'
import { linkServerKey } from '../links/linkServer.js'
import { routerServices } from './routerServices.js'

const log = createLog('router')

/** A router running in this process. */
export interface RunningRouter {
  /** Listening port for callers. */
  readonly callerPort: number
  /** Listening port for links. */
  readonly linkPort: number
  /** Stops accepting connections; resolves once the responses to all open requests are complete. */
  drain: () => Promise<void>
  /** Stops the router immediately. */
  close: () => Promise<void>
}

/**
 * Starts a router.
 *
 * @param settings - local settings
 * @returns the running router; rejects when a port cannot be bound
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
      log.info('draining router: reporting not ready, waiting for open requests')
      kernel.get(membershipKey).drain()
      await callers.drain()
    },
    close: async () => {
      await kernel.close()
      log.info('router stopped')
    }
  }
}

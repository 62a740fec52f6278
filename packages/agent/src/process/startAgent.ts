/** Starts and stops an agent. */
import { createLog, Kernel } from '@fuchsiaworks/kernel'
import { createContext, linkHubKey, membershipKey } from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import { runTableKey } from '../runs/runTable.js'
import { agentServices } from './agentServices.js'

/** Milliseconds between two checks whether routers have confirmed all messages. */
const FLUSH_CHECK_INTERVAL_MS = 20

/** Milliseconds for which a draining agent waits for routers to confirm its messages. */
const FLUSH_TIMEOUT_MS = 5_000

const log = createLog('agent')

/** Control of a running agent. */
export interface RunningAgent {
  /**
   * Stops accepting requests. Resolves once the running requests have ended, however long they take, and routers have confirmed all
   * messages or the flush timeout has passed.
   */
  drain: () => Promise<void>
  /** Stops the agent without waiting for running requests. */
  close: () => Promise<void>
}

const waitUntilFlushed = async (kernel: Kernel): Promise<void> => {
  const hub = kernel.get(linkHubKey)
  for (let waited = 0; waited < FLUSH_TIMEOUT_MS; waited += FLUSH_CHECK_INTERVAL_MS) {
    if ([...hub.openLinks()].every(link => link.session.unconfirmedBytes === 0)) return
    await new Promise(resolve => { setTimeout(resolve, FLUSH_CHECK_INTERVAL_MS) })
  }
}

/**
 * Starts an agent.
 *
 * @param settings - local settings
 * @returns the running agent
 */
export const startAgent = async (settings: AgentSettings): Promise<RunningAgent> => {
  const kernel = new Kernel()
  for (const definition of agentServices(await createContext(settings), settings)) kernel.register(definition)
  await kernel.start()
  log.info('the agent runs', { upstream: settings.upstream })
  return {
    drain: async () => {
      log.info('draining agent: accepting no new requests, waiting for running ones')
      kernel.get(membershipKey).drain()
      await kernel.get(runTableKey).whenEmpty()
      await waitUntilFlushed(kernel)
    },
    close: async () => {
      await kernel.close()
      log.info('agent stopped')
    }
  }
}

/** Starts an agent. */
import { createLog, Kernel } from '@fuchsiaworks/kernel'
import { createContext, linkHubKey, membershipKey } from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import { runTableKey } from '../runs/runTable.js'
import { agentServices } from './agentServices.js'

/** Milliseconds between two looks whether routers have confirmed all answers. */
const FLUSH_CHECK_MS = 20

/** Milliseconds after which a draining agent no longer waits for routers to confirm its answers. */
const FLUSH_LIMIT_MS = 5_000

const log = createLog('agent')

/** An agent that runs in this process. */
export interface RunningAgent {
  /** Takes no new work, and settles once everything that runs has ended and its answers have arrived. */
  drain: () => Promise<void>
  /** Ends the agent at once. */
  close: () => Promise<void>
}

const whenFlushed = async (kernel: Kernel): Promise<void> => {
  const hub = kernel.get(linkHubKey)
  for (let waited = 0; waited < FLUSH_LIMIT_MS; waited += FLUSH_CHECK_MS) {
    if ([...hub.openLinks()].every(link => link.session.unconfirmedBytes === 0)) return
    await new Promise(resolve => { setTimeout(resolve, FLUSH_CHECK_MS) })
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
      log.info('the agent drains')
      kernel.get(membershipKey).drain()
      await kernel.get(runTableKey).whenEmpty()
      await whenFlushed(kernel)
    },
    close: async () => {
      await kernel.close()
      log.info('the agent has ended')
    }
  }
}

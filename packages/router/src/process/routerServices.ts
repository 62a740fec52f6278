/** The services of a router, as registered with the kernel. */
import { type ServiceDefinition, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import {
  configurationKey, ConfigurationService, contextKey, LinkHub, linkHubKey, membershipKey, MembershipService, type ProcessContext
} from '@fuchsiaworks/fleet'
import { type AdmissionDb, admissionDefinition } from '@fuchsiaworks/policy'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { CallerServer, callerServerKey } from '../callers/callerServer.js'
import { AgentStates, agentStatesKey } from '../links/agentStates.js'
import { BacklogTeller, backlogTellerKey } from '../links/backlogTeller.js'
import { LinkServer, linkServerKey } from '../links/linkServer.js'
import { AnswerRelay, answerRelayKey } from '../requests/answerRelay.js'
import { HomeFinder, homeFinderKey } from '../requests/homeFinder.js'
import { RequestFlow, requestFlowKey } from '../requests/requestFlow.js'
import { RequestTable, requestTableKey } from '../requests/requestTable.js'

/** Holds the state of the router's queue. */
interface QueueHolder {
  readonly db: AdmissionDb
}

const queueKey: ServiceKey<QueueHolder> = serviceKey('queue')

/**
 * Lists the services of a router.
 *
 * @param context - the process
 * @param settings - its settings
 * @returns definitions, for the kernel
 */
export const routerServices = (context: ProcessContext, settings: RouterSettings): ServiceDefinition[] => [
  { id: contextKey.id, needs: [], create: () => context },
  { id: linkHubKey.id, needs: [contextKey.id], create: () => new LinkHub(context) },
  {
    id: configurationKey.id,
    needs: [linkHubKey.id],
    create: kernel => new ConfigurationService(context, kernel.get(linkHubKey))
  },
  {
    id: membershipKey.id,
    needs: [configurationKey.id],
    create: kernel => new MembershipService(context, kernel.get(linkHubKey), kernel.get(configurationKey), undefined)
  },
  { id: requestTableKey.id, needs: [], create: () => new RequestTable() },
  { id: queueKey.id, needs: [], create: () => ({ db: admissionDefinition.createDb() }) },
  {
    id: agentStatesKey.id,
    needs: [membershipKey.id],
    create: kernel => new AgentStates(kernel.get(linkHubKey), kernel.get(configurationKey), kernel.get(membershipKey))
  },
  {
    id: backlogTellerKey.id,
    needs: [agentStatesKey.id, queueKey.id],
    create: kernel => new BacklogTeller(context, kernel.get(linkHubKey), kernel.get(queueKey).db, kernel.get(agentStatesKey))
  },
  {
    id: requestFlowKey.id,
    needs: [backlogTellerKey.id, requestTableKey.id],
    create: kernel => new RequestFlow(
      context, kernel.get(linkHubKey), kernel.get(requestTableKey), kernel.get(backlogTellerKey), kernel.get(queueKey).db, kernel.get(agentStatesKey)
    )
  },
  {
    id: answerRelayKey.id,
    needs: [requestFlowKey.id],
    create: kernel => new AnswerRelay(kernel.get(linkHubKey), kernel.get(requestTableKey), kernel.get(requestFlowKey))
  },
  { id: homeFinderKey.id, needs: [configurationKey.id], create: kernel => new HomeFinder(context, kernel.get(configurationKey)) },
  {
    id: linkServerKey.id,
    needs: [answerRelayKey.id],
    create: kernel => new LinkServer(context, kernel.get(linkHubKey), settings)
  },
  {
    id: callerServerKey.id,
    needs: [answerRelayKey.id, homeFinderKey.id],
    create: kernel => new CallerServer(
      context, kernel.get(configurationKey), kernel.get(requestTableKey), kernel.get(requestFlowKey), kernel.get(homeFinderKey), settings
    )
  }
]

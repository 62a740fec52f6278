/** The services of a router, as registered with the kernel. */
import { type ServiceDefinition, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import {
  adminKey, AdminService, configurationKey, ConfigurationService, contextKey, fairnessKey, FairnessService, LinkHub, linkHubKey, membershipKey, MembershipService, MetricsReporter, metricsReporterKey, type ProcessContext
} from '@fuchsiaworks/fleet'
import { type AdmissionDb, admissionDefinition } from '@fuchsiaworks/policy'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { routerHandlers } from '../admin/routerAdmin.js'
import { CallerServer, callerServerKey } from '../callers/callerServer.js'
import { KeyRelay, keyRelayKey } from '../keys/keyRelay.js'
import { AgentStates, agentStatesKey } from '../links/agentStates.js'
import { BacklogTeller, backlogTellerKey } from '../links/backlogTeller.js'
import { LinkServer, linkServerKey } from '../links/linkServer.js'
import { quarantineKey, QuarantineService } from '../quarantine/quarantineService.js'
import { AnswerRelay, answerRelayKey } from '../requests/answerRelay.js'
import { HomeFinder, homeFinderKey } from '../requests/homeFinder.js'
import { RequestFlow, requestFlowKey } from '../requests/requestFlow.js'
import { RequestJournal, requestJournalKey } from '../requests/requestJournal.js'
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
  { id: contextKey.id, dependencies: [], create: () => context },
  { id: linkHubKey.id, dependencies: [contextKey.id], create: () => new LinkHub(context) },
  {
    id: configurationKey.id,
    dependencies: [linkHubKey.id],
    create: kernel => new ConfigurationService(context, kernel.get(linkHubKey))
  },
  {
    id: membershipKey.id,
    dependencies: [configurationKey.id],
    create: kernel => new MembershipService(context, kernel.get(linkHubKey), kernel.get(configurationKey))
  },
  {
    id: fairnessKey.id,
    dependencies: [membershipKey.id],
    create: kernel => new FairnessService(
      context, { hub: kernel.get(linkHubKey), membership: kernel.get(membershipKey) }, kernel.get(configurationKey)
    )
  },
  { id: requestJournalKey.id, dependencies: [], create: () => new RequestJournal(context) },
  { id: requestTableKey.id, dependencies: [], create: () => new RequestTable() },
  { id: queueKey.id, dependencies: [], create: () => ({ db: admissionDefinition.createDb() }) },
  {
    id: agentStatesKey.id,
    dependencies: [fairnessKey.id],
    create: kernel => new AgentStates(
      kernel.get(linkHubKey), kernel.get(configurationKey), kernel.get(membershipKey), kernel.get(fairnessKey)
    )
  },
  {
    id: backlogTellerKey.id,
    dependencies: [agentStatesKey.id, queueKey.id],
    create: kernel => new BacklogTeller(context, kernel.get(queueKey).db, kernel.get(agentStatesKey), kernel.get(fairnessKey))
  },
  { id: quarantineKey.id, dependencies: [configurationKey.id], create: kernel => new QuarantineService(context, kernel.get(linkHubKey), kernel.get(configurationKey)) },
  {
    id: requestFlowKey.id,
    dependencies: [backlogTellerKey.id, requestTableKey.id, quarantineKey.id, homeFinderKey.id, requestJournalKey.id],
    create: kernel => new RequestFlow(
      context, kernel.get(linkHubKey), kernel.get(requestTableKey), kernel.get(backlogTellerKey),
      kernel.get(requestJournalKey), kernel.get(quarantineKey),
      kernel.get(configurationKey), kernel.get(homeFinderKey), kernel.get(queueKey).db, kernel.get(agentStatesKey)
    )
  },
  {
    id: answerRelayKey.id,
    dependencies: [requestFlowKey.id],
    create: kernel => new AnswerRelay(kernel.get(linkHubKey), kernel.get(requestTableKey), kernel.get(requestFlowKey))
  },
  { id: homeFinderKey.id, dependencies: [configurationKey.id], create: kernel => new HomeFinder(context, kernel.get(configurationKey)) },
  { id: keyRelayKey.id, dependencies: [agentStatesKey.id], create: kernel => new KeyRelay(kernel.get(linkHubKey), kernel.get(agentStatesKey)) },
  {
    id: linkServerKey.id,
    dependencies: [answerRelayKey.id, keyRelayKey.id],
    create: kernel => new LinkServer(context, kernel.get(linkHubKey), settings)
  },
  {
    id: metricsReporterKey.id,
    dependencies: [queueKey.id],
    create: kernel => new MetricsReporter(context, kernel.get(linkHubKey), kernel.get(configurationKey), metrics => {
      const { db } = kernel.get(queueKey)
      for (const service of db.services()) metrics.gauge('queue.waiting', db.waitingFor(service), { service })
    })
  },
  {
    id: adminKey.id,
    dependencies: [callerServerKey.id, linkServerKey.id],
    create: kernel => new AdminService(context, routerHandlers({
      context,
      hub: kernel.get(linkHubKey),
      configuration: kernel.get(configurationKey),
      membership: kernel.get(membershipKey),
      fairness: kernel.get(fairnessKey),
      callers: kernel.get(callerServerKey),
      table: kernel.get(requestTableKey),
      journal: kernel.get(requestJournalKey),
      states: kernel.get(agentStatesKey),
      quarantine: kernel.get(quarantineKey),
      admission: kernel.get(queueKey).db
    }))
  },
  {
    id: callerServerKey.id,
    dependencies: [answerRelayKey.id],
    create: kernel => new CallerServer(
      context, kernel.get(configurationKey), kernel.get(requestTableKey), kernel.get(requestFlowKey), settings
    )
  }
]

/** Service definitions of a router process, for registration with the kernel. */
import { type ServiceDefinition, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import {
  adminKey, AdminService, configurationKey, ConfigurationService, contextKey, fairnessKey, FairnessService, LinkHub, linkHubKey, membershipKey, MembershipService, MetricsReporter, metricsReporterKey, type ProcessContext
} from '@fuchsiaworks/fleet'
import { type AdmissionDb, admissionDefinition } from '@fuchsiaworks/policy'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { routerHandlers } from '../admin/routerAdmin.js'
import { CallerServer, callerServerKey } from '../callers/callerServer.js'
import { KeyQueryRelay, keyQueryRelayKey } from '../keys/keyQueryRelay.js'
import { AgentStates, agentStatesKey } from '../links/agentStates.js'
import { BacklogSender, backlogSenderKey } from '../links/backlogSender.js'
import { LinkServer, linkServerKey } from '../links/linkServer.js'
import { quarantineKey, QuarantineService } from '../quarantine/quarantineService.js'
import { ResponseRelay, responseRelayKey } from '../requests/responseRelay.js'
import { KeyHomeResolver, keyHomeResolverKey } from '../requests/keyHomeResolver.js'
import { RequestFlow, requestFlowKey } from '../requests/requestFlow.js'
import { RequestTelemetry, requestTelemetryKey } from '../requests/requestTelemetry.js'
import { RequestTable, requestTableKey } from '../requests/requestTable.js'

/** Wraps the state of the queue, so that it can be registered as a service. */
interface QueueHolder {
  readonly db: AdmissionDb
}

const queueKey: ServiceKey<QueueHolder> = serviceKey('queue')

/**
 * Lists the services of a router.
 *
 * @param context - context of the process
 * @param settings - local settings of the router
 * @returns definitions to register with the kernel
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
  { id: requestTelemetryKey.id, dependencies: [], create: () => new RequestTelemetry(context) },
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
    id: backlogSenderKey.id,
    dependencies: [agentStatesKey.id, queueKey.id],
    create: kernel => new BacklogSender(context, kernel.get(queueKey).db, kernel.get(agentStatesKey), kernel.get(fairnessKey))
  },
  { id: quarantineKey.id, dependencies: [configurationKey.id], create: kernel => new QuarantineService(context, kernel.get(linkHubKey), kernel.get(configurationKey)) },
  {
    id: requestFlowKey.id,
    dependencies: [backlogSenderKey.id, requestTableKey.id, quarantineKey.id, keyHomeResolverKey.id, requestTelemetryKey.id],
    create: kernel => new RequestFlow(
      context, kernel.get(linkHubKey), kernel.get(requestTableKey), kernel.get(backlogSenderKey),
      kernel.get(requestTelemetryKey), kernel.get(quarantineKey),
      kernel.get(configurationKey), kernel.get(keyHomeResolverKey), kernel.get(queueKey).db, kernel.get(agentStatesKey)
    )
  },
  {
    id: responseRelayKey.id,
    dependencies: [requestFlowKey.id],
    create: kernel => new ResponseRelay(kernel.get(linkHubKey), kernel.get(requestTableKey), kernel.get(requestFlowKey))
  },
  { id: keyHomeResolverKey.id, dependencies: [configurationKey.id], create: kernel => new KeyHomeResolver(context, kernel.get(configurationKey)) },
  { id: keyQueryRelayKey.id, dependencies: [agentStatesKey.id], create: kernel => new KeyQueryRelay(kernel.get(linkHubKey), kernel.get(agentStatesKey)) },
  {
    id: linkServerKey.id,
    dependencies: [responseRelayKey.id, keyQueryRelayKey.id],
    create: kernel => new LinkServer(context, kernel.get(linkHubKey), settings)
  },
  {
    id: metricsReporterKey.id,
    dependencies: [queueKey.id],
    create: kernel => new MetricsReporter(context, kernel.get(linkHubKey), kernel.get(configurationKey), metrics => {
      const { db } = kernel.get(queueKey)
      for (const service of db.services()) metrics.gauge('queue.waiting', db.queuedCount(service), { service })
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
      requests: kernel.get(requestTableKey),
      telemetry: kernel.get(requestTelemetryKey),
      agentStates: kernel.get(agentStatesKey),
      quarantine: kernel.get(quarantineKey),
      admissionDb: kernel.get(queueKey).db
    }))
  },
  {
    id: callerServerKey.id,
    dependencies: [responseRelayKey.id],
    create: kernel => new CallerServer(
      context, kernel.get(configurationKey), kernel.get(requestTableKey), kernel.get(requestFlowKey), settings
    )
  }
]

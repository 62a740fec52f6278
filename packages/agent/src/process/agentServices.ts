/** Service definitions of an agent, with their dependencies, for the kernel. */
import type { ServiceDefinition } from '@fuchsiaworks/kernel'
import {
  adminKey, AdminService, configurationKey, ConfigurationService, contextKey, fairnessKey, FairnessService, LinkHub, linkHubKey, membershipKey, MembershipService, MetricsReporter, metricsReporterKey,
  type ProcessContext
} from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import { agentHandlers } from '../admin/agentAdmin.js'
import { KeyQueries, keyQueriesKey } from '../keys/keyQueries.js'
import { KeyService, keyServiceKey } from '../keys/keyService.js'
import { LimitService, limitKey } from '../limits/limitService.js'
import { LoadPoller, loadPollerKey } from '../limits/loadPoller.js'
import { StateAdvertiser, stateAdvertiserKey } from '../links/stateAdvertiser.js'
import { Handovers, handoversKey } from '../runs/handovers.js'
import { KeyedResponses, keyedResponsesKey } from '../runs/keyedResponses.js'
import { Runner, runnerKey } from '../runs/runner.js'
import { RunTable, runTableKey } from '../runs/runTable.js'
import { Slots, slotsKey } from '../runs/slots.js'
import { StartGate, startGateKey } from '../runs/startGate.js'

/**
 * Creates the service definitions of an agent.
 *
 * @param context - context of the process
 * @param settings - local settings
 * @returns definitions to register with the kernel
 */
export const agentServices = (context: ProcessContext, settings: AgentSettings): ServiceDefinition[] => [
  { id: contextKey.id, dependencies: [], create: () => context },
  { id: linkHubKey.id, dependencies: [contextKey.id], create: () => new LinkHub(context) },
  { id: configurationKey.id, dependencies: [linkHubKey.id], create: kernel => new ConfigurationService(context, kernel.get(linkHubKey)) },
  {
    id: limitKey.id,
    dependencies: [configurationKey.id],
    create: kernel => new LimitService(context, kernel.get(configurationKey), settings)
  },
  {
    id: keyServiceKey.id,
    dependencies: [configurationKey.id],
    create: kernel => new KeyService(context, kernel.get(configurationKey), settings)
  },
  {
    id: fairnessKey.id,
    dependencies: [membershipKey.id],
    create: kernel => new FairnessService(
      context, { hub: kernel.get(linkHubKey), membership: kernel.get(membershipKey) }, kernel.get(configurationKey)
    )
  },
  { id: runTableKey.id, dependencies: [], create: () => new RunTable() },
  { id: keyedResponsesKey.id, dependencies: [keyServiceKey.id], create: kernel => new KeyedResponses(kernel.get(keyServiceKey)) },
  {
    id: membershipKey.id,
    dependencies: [limitKey.id],
    create: kernel => new MembershipService(context, kernel.get(linkHubKey), kernel.get(configurationKey))
  },
  {
    id: slotsKey.id,
    dependencies: [membershipKey.id, fairnessKey.id, runTableKey.id],
    create: kernel => new Slots(
      context, kernel.get(linkHubKey), kernel.get(fairnessKey), kernel.get(limitKey), kernel.get(membershipKey), kernel.get(runTableKey),
      kernel.get(configurationKey)
    )
  },
  {
    id: runnerKey.id,
    dependencies: [slotsKey.id, runTableKey.id, keyedResponsesKey.id],
    create: kernel => new Runner(
      context, kernel.get(linkHubKey), kernel.get(configurationKey), kernel.get(fairnessKey), kernel.get(limitKey), kernel.get(slotsKey),
      kernel.get(runTableKey), kernel.get(keyedResponsesKey), settings
    )
  },
  { id: loadPollerKey.id, dependencies: [limitKey.id], create: kernel => new LoadPoller(context, kernel.get(limitKey), settings) },
  {
    id: startGateKey.id,
    dependencies: [slotsKey.id, runTableKey.id],
    create: kernel => new StartGate(kernel.get(runTableKey), kernel.get(slotsKey), kernel.get(limitKey))
  },
  {
    id: keyQueriesKey.id,
    dependencies: [keyServiceKey.id],
    create: kernel => new KeyQueries(context, kernel.get(linkHubKey), kernel.get(keyServiceKey))
  },
  {
    id: handoversKey.id,
    dependencies: [runnerKey.id, startGateKey.id, keyQueriesKey.id],
    create: kernel => new Handovers(
      context, kernel.get(linkHubKey), kernel.get(membershipKey), kernel.get(limitKey), kernel.get(slotsKey), kernel.get(keyServiceKey),
      kernel.get(keyQueriesKey), kernel.get(runnerKey), kernel.get(startGateKey)
    )
  },
  {
    id: stateAdvertiserKey.id,
    dependencies: [handoversKey.id],
    create: kernel => new StateAdvertiser(
      context, kernel.get(linkHubKey), kernel.get(configurationKey), kernel.get(membershipKey), kernel.get(limitKey), kernel.get(runTableKey), settings
    )
  },
  {
    id: metricsReporterKey.id,
    dependencies: [slotsKey.id],
    create: kernel => new MetricsReporter(
      context, kernel.get(linkHubKey), kernel.get(configurationKey), metrics => { kernel.get(slotsKey).writeMetrics(metrics) }
    )
  },
  {
    id: adminKey.id,
    dependencies: [stateAdvertiserKey.id],
    create: kernel => new AdminService(context, agentHandlers({
      context,
      settings,
      hub: kernel.get(linkHubKey),
      configuration: kernel.get(configurationKey),
      membership: kernel.get(membershipKey),
      fairness: kernel.get(fairnessKey),
      limits: kernel.get(limitKey),
      runs: kernel.get(runTableKey),
      slots: kernel.get(slotsKey),
      keys: kernel.get(keyServiceKey),
      state: kernel.get(stateAdvertiserKey)
    }))
  }
]

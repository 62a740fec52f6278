/** The services of an agent, as registered with the kernel. */
import type { ServiceDefinition } from '@fuchsiaworks/kernel'
import {
  adminKey, AdminService, configurationKey, ConfigurationService, contextKey, fairnessKey, FairnessService, LinkHub, linkHubKey, membershipKey, MembershipService, MetricsReporter, metricsReporterKey,
  type ProcessContext
} from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import { agentHandlers } from '../admin/agentAdmin.js'
import { KeyAsks, keyAsksKey } from '../keys/keyAsks.js'
import { KeyService, keyServiceKey } from '../keys/keyService.js'
import { LimitService, limitKey } from '../limits/limitService.js'
import { LoadWatch, loadWatchKey } from '../limits/loadWatch.js'
import { StateTeller, stateTellerKey } from '../links/stateTeller.js'
import { Handovers, handoversKey } from '../runs/handovers.js'
import { KeyedAnswers, keyedAnswersKey } from '../runs/keyedAnswers.js'
import { Runner, runnerKey } from '../runs/runner.js'
import { RunTable, runTableKey } from '../runs/runTable.js'
import { Slots, slotsKey } from '../runs/slots.js'
import { StartGate, startGateKey } from '../runs/startGate.js'

/**
 * Lists the services of an agent.
 *
 * @param context - the process
 * @param settings - its settings
 * @returns definitions, for the kernel
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
  { id: keyedAnswersKey.id, dependencies: [keyServiceKey.id], create: kernel => new KeyedAnswers(kernel.get(keyServiceKey)) },
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
    dependencies: [slotsKey.id, runTableKey.id, keyedAnswersKey.id],
    create: kernel => new Runner(
      context, kernel.get(linkHubKey), kernel.get(configurationKey), kernel.get(fairnessKey), kernel.get(limitKey), kernel.get(slotsKey),
      kernel.get(runTableKey), kernel.get(keyedAnswersKey), settings
    )
  },
  { id: loadWatchKey.id, dependencies: [limitKey.id], create: kernel => new LoadWatch(context, kernel.get(limitKey), settings) },
  {
    id: startGateKey.id,
    dependencies: [slotsKey.id, runTableKey.id],
    create: kernel => new StartGate(kernel.get(runTableKey), kernel.get(slotsKey), kernel.get(limitKey))
  },
  {
    id: keyAsksKey.id,
    dependencies: [keyServiceKey.id],
    create: kernel => new KeyAsks(context, kernel.get(linkHubKey), kernel.get(keyServiceKey))
  },
  {
    id: handoversKey.id,
    dependencies: [runnerKey.id, startGateKey.id, keyAsksKey.id],
    create: kernel => new Handovers(
      context, kernel.get(linkHubKey), kernel.get(membershipKey), kernel.get(limitKey), kernel.get(slotsKey), kernel.get(keyServiceKey),
      kernel.get(keyAsksKey), kernel.get(runnerKey), kernel.get(startGateKey)
    )
  },
  {
    id: stateTellerKey.id,
    dependencies: [handoversKey.id],
    create: kernel => new StateTeller(
      context, kernel.get(linkHubKey), kernel.get(configurationKey), kernel.get(membershipKey), kernel.get(limitKey), kernel.get(runTableKey), settings
    )
  },
  {
    id: metricsReporterKey.id,
    dependencies: [slotsKey.id],
    create: kernel => new MetricsReporter(
      context, kernel.get(linkHubKey), kernel.get(configurationKey), metrics => { kernel.get(slotsKey).report(metrics) }
    )
  },
  {
    id: adminKey.id,
    dependencies: [stateTellerKey.id],
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
      state: kernel.get(stateTellerKey)
    }))
  }
]

/** Finds the home of an idempotency key: the only upstream at which a request with that key may run. */
import { createLog, onEvent, type ServiceId, type ServiceKey, serviceKey, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { type ConfigurationService, listedUpstreams, type ProcessContext } from '@fuchsiaworks/fleet'
import { type HashedMember, hashMembers, keySubject, rendezvous } from '@fuchsiaworks/policy'

const log = createLog('homes')

/** Homes under the configuration in force. */
export class HomeFinder {
  readonly #members = new Map<ServiceId, Array<HashedMember<UpstreamId>>>()

  constructor (readonly context: ProcessContext, configuration: ConfigurationService) {
    onEvent(configuration.changes, log, ({ config }) => {
      this.#members.clear()
      for (const service of Object.keys(config.services) as ServiceId[]) {
        this.#members.set(service, hashMembers(context.hash, listedUpstreams(config, service)))
      }
    })
  }

  /**
   * Names the home of a key.
   *
   * @param service - the service that is asked for
   * @param workspace - whose key it is
   * @param key - the key
   * @returns the upstream; undefined when the service has none
   */
  homeOf (service: ServiceId, workspace: WorkspaceId, key: string): UpstreamId | undefined {
    return rendezvous(this.#members.get(service) ?? [], keySubject(this.context.hash, { service, workspace, key }))
  }
}

/** Key of the home finder. */
export const homeFinderKey: ServiceKey<HomeFinder> = serviceKey('homes')

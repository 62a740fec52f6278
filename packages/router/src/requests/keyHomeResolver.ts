/** Resolves the home of an idempotency key: the upstream that owns the key, the only one at which a request with it may run. */
import { createLog, onEvent, type ServiceId, type ServiceKey, serviceKey, type UpstreamId } from '@fuchsiaworks/kernel'
import { type ConfigurationService, listedUpstreams, type ProcessContext } from '@fuchsiaworks/fleet'
import { type HashedMember, hashMembers, keyHome } from '@fuchsiaworks/policy'
import type { RequestFacts } from './openRequest.js'

const log = createLog('homes')

/** Resolves homes under the active configuration. */
export class KeyHomeResolver {
  readonly #upstreamsByService = new Map<ServiceId, Array<HashedMember<UpstreamId>>>()

  constructor (readonly context: ProcessContext, configuration: ConfigurationService) {
    onEvent(configuration.changes, log, ({ config }) => {
      this.#upstreamsByService.clear()
      for (const service of Object.keys(config.services) as ServiceId[]) {
        this.#upstreamsByService.set(service, hashMembers(context.hash, listedUpstreams(config, service)))
      }
    })
  }

  /**
   * Finds the home of the key of a request.
   *
   * @param facts - properties of the request
   * @returns the upstream; undefined when any upstream may run the request, or when the service has none
   */
  homeOf ({ service, workspace, key, idempotent }: RequestFacts): UpstreamId | undefined {
    if (idempotent || key === undefined) return undefined
    return keyHome(this.context.hash, { service, workspace, key }, this.#upstreamsByService.get(service) ?? [])
  }
}

export const keyHomeResolverKey: ServiceKey<KeyHomeResolver> = serviceKey('key-home-resolver')

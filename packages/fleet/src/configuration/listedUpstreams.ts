/** Upstreams that may own the idempotency keys of a service (be their home), according to the configuration. */
import type { ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import type { FleetConfig } from '@fuchsiaworks/settings'

/**
 * Lists the upstreams of a service that accept new work according to the configuration. Link state is ignored, so that
 * all processes with the same revision compute the same home for a key.
 *
 * @param config - the active configuration
 * @param service - the service
 * @returns the upstreams that are in state `in` and whose zone is in state `in`
 */
export const listedUpstreams = (config: FleetConfig, service: ServiceId): UpstreamId[] =>
  (Object.keys(config.upstreams) as UpstreamId[]).filter(id => {
    const upstream = config.upstreams[id]
    if (upstream === undefined || upstream.service !== service || upstream.state !== 'in') return false
    return config.zones[upstream.zone]?.state === 'in'
  })

/** Which upstreams the configuration lists as homes of a service's keys. */
import type { ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import type { FleetConfig } from '@fuchsiaworks/settings'

/**
 * Lists the upstreams of a service that take new work by the configuration alone, so that two processes with the same
 * revision name the same homes whatever links they have.
 *
 * @param config - the configuration in force
 * @param service - the service
 * @returns upstreams whose zone is in and that do not leave
 */
export const listedUpstreams = (config: FleetConfig, service: ServiceId): UpstreamId[] =>
  (Object.keys(config.upstreams) as UpstreamId[]).filter(id => {
    const upstream = config.upstreams[id]
    if (upstream === undefined || upstream.service !== service || upstream.state !== 'in') return false
    return config.zones[upstream.zone]?.state === 'in'
  })

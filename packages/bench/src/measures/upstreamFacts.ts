/** Records of the upstreams, which the measures compare with the responses to callers. */
import type { RequestRun, WorkInterval } from '@fuchsiaworks/standins'
import type { Fleet, RunningUpstream } from '../processes/fleet.js'

/** Records of one upstream. */
export interface UpstreamFacts {
  readonly upstream: RunningUpstream
  readonly runs: readonly RequestRun[]
  readonly service: readonly WorkInterval[]
  readonly crashes: number
}

/**
 * Reads the records of all upstreams.
 *
 * @param fleet - the running fleet
 * @returns one entry for each upstream
 */
export const readUpstreamFacts = async (fleet: Fleet): Promise<UpstreamFacts[]> =>
  await Promise.all(fleet.upstreams.map(async upstream => ({ upstream, ...await upstream.control.readFacts<Omit<UpstreamFacts, 'upstream'>>() })))

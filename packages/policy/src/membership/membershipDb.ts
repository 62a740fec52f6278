/** Membership state of a process: known hosts and their state, from all sources. */
import { getOrMake, type HostId, type Incarnation, type Millis, type ServiceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { StringHash } from '../keys/rendezvous.js'
import type { Candidate } from './linkPlan.js'
import type { HostRole, MembershipConfig, WorkState } from './membershipTypes.js'

/** Sources that report a host as leaving. */
export interface Leaving {
  /** The newest host list. */
  list: boolean
  /** A peer or the host itself. Cleared when the host's process restarts, or when the host list stops listing it as leaving. */
  reported: boolean
  /** The newest configuration. */
  configuration: boolean
}

/** @returns a record in which no source reports the host as leaving */
export const newLeaving = (): Leaving => ({ list: false, reported: false, configuration: false })

/**
 * Combines the sources.
 *
 * @param leaving - state by source
 * @returns true when any source reports the host as leaving
 */
export const isLeaving = (leaving: Leaving): boolean => leaving.list || leaving.reported || leaving.configuration

/** Another host and the state of the link to it. */
export interface KnownHost {
  readonly candidate: Candidate
  readonly role: HostRole
  service: ServiceId | undefined
  incarnation: Incarnation | undefined
  /** Last time at which the host list, the configuration or a message named the host. */
  seenAt: Millis
  /** Last time at which the peer was known to be alive. */
  lastAliveAt: Millis
  linked: boolean
  /** True from the `dial` to the `disconnect` command. */
  dialled: boolean
  /** Start of the current attempts to connect to a dialled peer. */
  triedSince: Millis
  /** The host is left out of the link plan before this time. */
  unreachableUntil: Millis
  readonly leaving: Leaving
  /** Time at which a dialled host was first left out of the link plan; undefined while it is planned. */
  unplannedSince: Millis | undefined
  /** True from the replacement of a silent connection until the peer is alive again. */
  suspected: boolean
}

/** Known hosts, configuration and the work state of this process. */
export class MembershipDb {
  readonly hosts = new Map<HostId, KnownHost>()
  revision = 0
  zonesOut: ReadonlySet<ZoneId> = new Set()
  /** Hosts named by the configuration; they are not removed when absent from the host list. */
  configured: ReadonlySet<HostId> = new Set()
  /** On an agent: current capacity requests for its service, by requesting router. */
  readonly capacityRequests = new Map<HostId, { readonly round: number, readonly until: Millis }>()
  /** On a router: its last capacity request, by service. */
  readonly sentCapacityRequests = new Map<ServiceId, { readonly round: number, readonly at: Millis }>()
  /** On a router: services with waiting requests. */
  backlog: readonly ServiceId[] = []
  readonly selfLeaving: Leaving = newLeaving()
  workState: WorkState = 'unconfigured'
  /** When new work is accepted again after the zone returned; Infinity until the random delay is drawn. */
  returnAt: Millis | undefined
  /** No peer is suspected before this time, so that after a pause of this process peers have one heartbeat period to be seen alive. */
  suspectFrom: Millis = 0
  /** True when links have to be planned again. */
  linkPlanStale = true
  /** When the links were last planned. */
  plannedAt: Millis = -Infinity
  readonly self: Candidate

  /**
   * @param config - membership settings of this process
   * @param hash - the fleet's hash
   */
  constructor (readonly config: MembershipConfig, readonly hash: StringHash) {
    this.self = { id: config.host, hash: hash(config.host), zone: config.zone }
  }

  /** Records that a source names a host. */
  recordHost (host: HostId, role: HostRole, zone: ZoneId, now: Millis): KnownHost {
    const known = getOrMake(this.hosts, host, () => {
      this.linkPlanStale = true
      return this.#newHost(host, role, zone)
    })
    known.seenAt = Math.max(known.seenAt, now)
    return known
  }

  /** @returns routers for the link plan; a linked router that leaves, or whose zone is out, stays included until its requests are done */
  routers (now: Millis): Candidate[] {
    const isIncluded = (host: KnownHost): boolean =>
      host.role === 'router' && (host.linked || (host.unreachableUntil <= now && !isLeaving(host.leaving)))
    return [...this.hosts.values()].filter(isIncluded).map(host => host.candidate)
  }

  /** @returns agents of a service that are not known to refuse new work */
  agents (service: ServiceId | undefined): Candidate[] {
    const isIncluded = (host: KnownHost): boolean =>
      host.role === 'agent' && host.service === service && !isLeaving(host.leaving) && !this.zonesOut.has(host.candidate.zone)
    return [...this.hosts.values()].filter(isIncluded).map(host => host.candidate)
  }

  /** @returns the number of linked agents of a service */
  linkedAgents (service: ServiceId): number {
    return [...this.hosts.values()].filter(host => host.role === 'agent' && host.linked && host.service === service).length
  }

  /** @returns the leaving record of this or another host */
  leaving (host: HostId): Leaving | undefined {
    return host === this.config.host ? this.selfLeaving : this.hosts.get(host)?.leaving
  }

  /**
   * Removes expired capacity requests, and hosts that no source has named for `forgetAfter`.
   *
   * @returns the removed hosts that were still dialled
   */
  removeExpired (now: Millis): HostId[] {
    const dialled: HostId[] = []
    for (const [id, host] of this.hosts) {
      if (host.linked || this.configured.has(id)) continue
      if (now - host.seenAt < this.config.forgetAfter) continue
      this.hosts.delete(id)
      this.linkPlanStale = true
      if (host.dialled) dialled.push(id)
    }
    for (const [router, request] of this.capacityRequests) {
      if (request.until <= now && this.capacityRequests.delete(router)) this.linkPlanStale = true
    }
    return dialled
  }

  #newHost (host: HostId, role: HostRole, zone: ZoneId): KnownHost {
    return {
      candidate: { id: host, hash: this.hash(host), zone },
      role,
      service: undefined,
      incarnation: undefined,
      seenAt: -Infinity,
      lastAliveAt: -Infinity,
      linked: false,
      dialled: false,
      triedSince: -Infinity,
      unreachableUntil: -Infinity,
      leaving: newLeaving(),
      unplannedSince: undefined,
      suspected: false
    }
  }
}

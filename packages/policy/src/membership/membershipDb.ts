/** What a process knows of other hosts, from every source. */
import { getOrMake, type HostId, type Incarnation, type Millis, type ServiceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { StringHash } from '../keys/rendezvous.js'
import type { Candidate } from './linkPlan.js'
import type { HostRole, MembershipConfig, WorkState } from './membershipTypes.js'

/** Which sources say that a host leaves. */
export interface Leaving {
  /** The newest host list. */
  list: boolean
  /** A peer or the host itself; holds for one life of the process, or until the list takes its own word back. */
  reported: boolean
  /** The newest configuration. */
  configuration: boolean
}

/** @returns a record in which no source says that the host leaves */
export const newLeaving = (): Leaving => ({ list: false, reported: false, configuration: false })

/**
 * Joins the sources.
 *
 * @param leaving - what each source says
 * @returns true when any of them says that the host leaves
 */
export const isLeaving = (leaving: Leaving): boolean => leaving.list || leaving.reported || leaving.configuration

/** One host. */
export interface KnownHost {
  readonly candidate: Candidate
  readonly role: HostRole
  service: ServiceId | undefined
  incarnation: Incarnation | undefined
  /** Last time that a list, the configuration or the host itself named it. */
  seenAt: Millis
  /** Last word over a link. */
  lastAliveAt: Millis
  linked: boolean
  /** True from dial to hang-up. */
  dialled: boolean
  /** Since when a dialled peer has been tried without a link. */
  triedSince: Millis
  /** The host does not count in the plan before this time. */
  unreachableUntil: Millis
  readonly leaving: Leaving
  /** Since when a link is open that is no longer planned. */
  unplannedSince: Millis | undefined
  /** A suspicion was told and no word came since. */
  suspected: boolean
}

/** Hosts, configuration and this process's own state. */
export class MembershipDb {
  readonly hosts = new Map<HostId, KnownHost>()
  revision = 0
  zonesOut: ReadonlySet<ZoneId> = new Set()
  /** Hosts that the configuration names as agents, so that absence from the list does not remove them. */
  configured: ReadonlySet<HostId> = new Set()
  /** Calls of other routers for agents of this one's service. */
  readonly hungry = new Map<HostId, { readonly round: number, readonly until: Millis }>()
  /** Own calls of a router, by service. */
  readonly calls = new Map<ServiceId, { readonly round: number, readonly at: Millis }>()
  /** Services with waiting requests at this router. */
  backlog: readonly ServiceId[] = []
  readonly selfLeaving: Leaving = newLeaving()
  workState: WorkState = 'unconfigured'
  /** When work is taken again after the zone returned; Infinity until the wait is drawn. */
  returnAt: Millis | undefined
  /** No peer is suspected before this time. */
  trustUntil: Millis = 0
  /** True when the links must be planned again. */
  stale = true
  /** When the links were last planned. */
  plannedAt: Millis = -Infinity
  readonly self: Candidate

  /**
   * @param config - settings
   * @param hash - the fleet's hash
   */
  constructor (readonly config: MembershipConfig, readonly hash: StringHash) {
    this.self = { id: config.host, hash: hash(config.host), zone: config.zone }
  }

  /** Notes that a source names a host. */
  see (host: HostId, role: HostRole, zone: ZoneId, now: Millis): KnownHost {
    const known = getOrMake(this.hosts, host, () => {
      this.stale = true
      return this.#newHost(host, role, zone)
    })
    known.seenAt = Math.max(known.seenAt, now)
    return known
  }

  /** @returns routers that count in the plan; one that leaves, or whose zone is out, keeps its links until its work is done */
  routers (now: Millis): Candidate[] {
    const counts = (host: KnownHost): boolean =>
      host.role === 'router' && (host.linked || (host.unreachableUntil <= now && !isLeaving(host.leaving)))
    return [...this.hosts.values()].filter(counts).map(host => host.candidate)
  }

  /** @returns agents of a service that take new work, as far as is known */
  agents (service: ServiceId | undefined): Candidate[] {
    const counts = (host: KnownHost): boolean =>
      host.role === 'agent' && host.service === service && !isLeaving(host.leaving) && !this.zonesOut.has(host.candidate.zone)
    return [...this.hosts.values()].filter(counts).map(host => host.candidate)
  }

  /** @returns the number of linked agents of a service */
  linkedAgents (service: ServiceId): number {
    return [...this.hosts.values()].filter(host => host.role === 'agent' && host.linked && host.service === service).length
  }

  /** @returns the leaving record of a host, this one included */
  leaving (host: HostId): Leaving | undefined {
    return host === this.config.host ? this.selfLeaving : this.hosts.get(host)?.leaving
  }

  /**
   * Forgets hosts that no source has named for long.
   *
   * @returns those that were still dialled
   */
  forgetOld (now: Millis): HostId[] {
    const dialled: HostId[] = []
    for (const [id, host] of this.hosts) {
      if (host.linked || this.configured.has(id)) continue
      if (now - host.seenAt < this.config.forgetAfter) continue
      this.hosts.delete(id)
      this.stale = true
      if (host.dialled) dialled.push(id)
    }
    for (const [router, call] of this.hungry) {
      if (call.until <= now && this.hungry.delete(router)) this.stale = true
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

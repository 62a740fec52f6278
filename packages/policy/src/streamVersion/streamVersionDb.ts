/** Software versions that serve each service or did so shortly before, and those that have begun recent streams, as known to one gateway. */
import type { Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'
import type { UpstreamProcess } from '../crashSuspect/crashSuspectTypes.js'
import type { StringHash } from '../keys/rendezvous.js'
import { groupByVersion, STREAM_RETENTION_MARGIN_MS, StreamTable } from './streamTable.js'
import type { StreamHash, StreamVersionReport, VersionCandidates, VersionedUpstream, VersionHash } from './streamVersionTypes.js'

/** Streams of the whole fleet that are remembered. */
const MAX_STREAMS = 131_072

/** Streams of this gateway that are remembered, to be sent to a gateway that has just become reachable. */
const MAX_OWN_STREAMS = 2048

interface ServedVersion {
  readonly isDeclared: boolean
  /** Time at which its last upstream left the list; undefined while one is listed. */
  goneAt: Millis | undefined
}

/** State of the stream version policy. */
export class StreamVersionDb {
  readonly #services = new Map<ServiceId, Map<VersionHash, ServedVersion>>()
  readonly #streams: StreamTable
  readonly #ownStreams: StreamTable
  /** Processes that accepted no connections, by upstream. */
  readonly #unreachable = new Map<UpstreamId, { readonly startedAt: number | undefined, readonly at: Millis }>()
  /** Streams of this gateway that have not been sent to peer gateways. */
  #unsent = new Map<StreamHash, VersionHash>()
  readonly #hashes = new WeakMap<VersionedUpstream, VersionHash>()
  #upstreams: readonly VersionedUpstream[] = []
  /** Longest time that a stream may take. */
  longestStreamMs: Millis = 0

  /**
   * @param hash - hash function shared by the fleet
   * @param startedAt - monotonic milliseconds
   */
  constructor (readonly hash: StringHash, startedAt: Millis) {
    this.#streams = new StreamTable(startedAt, MAX_STREAMS)
    this.#ownStreams = new StreamTable(startedAt, MAX_OWN_STREAMS)
  }

  /** Replaces the list of upstreams. */
  setUpstreams (upstreams: readonly VersionedUpstream[], now: Millis): void {
    this.#upstreams = upstreams
    const listed = new Set(upstreams.map(upstream => this.versionOf(upstream)))
    const ids = new Set(upstreams.map(({ id }) => id))
    for (const id of this.#unreachable.keys()) if (!ids.has(id)) this.#unreachable.delete(id)
    for (const upstream of upstreams) {
      const versions = this.#versions(upstream.service)
      const isDeclared = upstream.version !== undefined
      // A process may declare its version later than it registers.
      if (isDeclared) versions.delete(this.processVersion(upstream))
      versions.set(this.versionOf(upstream), { isDeclared, goneAt: undefined })
    }
    for (const versions of this.#services.values()) {
      for (const [version, served] of versions) if (!listed.has(version)) served.goneAt ??= now
    }
  }

  versionOf (upstream: VersionedUpstream): VersionHash {
    const known = this.#hashes.get(upstream)
    if (known !== undefined) return known
    const { service, version } = upstream
    const hash = version === undefined ? this.processVersion(upstream) : this.hash(JSON.stringify([service, version]))
    this.#hashes.set(upstream, hash)
    return hash
  }

  /** @returns a version that only this process has */
  processVersion ({ id, service, startedAt }: VersionedUpstream): VersionHash {
    return this.hash(JSON.stringify([service, id, startedAt ?? null]))
  }

  /** @returns the version that stands for all upstreams of a service, none of which declares one */
  serviceVersion (service: ServiceId): VersionHash {
    return this.hash(JSON.stringify([service]))
  }

  /** @returns whether a stream that began at a version may go on at an upstream */
  isOfVersion (upstream: VersionedUpstream, version: VersionHash): boolean {
    return this.versionOf(upstream) === version || this.processVersion(upstream) === version
  }

  /** Records that a process accepts no connections: the next one under its id may be of another version before its entry says so. */
  recordUnreachable ({ id, startedAt }: UpstreamProcess, now: Millis): void {
    this.#unreachable.set(id, { startedAt, at: now })
  }

  /**
   * Returns whether the list still tells which process answers.
   *
   * @param confirmedAt - time up to which the list is confirmed as the latest
   */
  isProcessKnown ({ id, startedAt }: UpstreamProcess, confirmedAt: Millis): boolean {
    const unreachable = this.#unreachable.get(id)
    return unreachable === undefined || unreachable.startedAt !== startedAt || unreachable.at <= confirmedAt
  }

  /** @returns the versions at which streams of a service may have begun that have not ended */
  candidates (service: ServiceId): VersionCandidates {
    const versions = [...this.#services.get(service) ?? []]
    return {
      declared: new Set(versions.filter(([, { isDeclared }]) => isDeclared).map(([version]) => version)),
      undeclared: new Set(versions.filter(([, { isDeclared }]) => !isDeclared).map(([version]) => version))
    }
  }

  /** @returns whether upstreams of the service have declared a version, so that a stream may go on at some of them only */
  isVersioned (service: ServiceId): boolean {
    for (const { isDeclared } of this.#services.get(service)?.values() ?? []) if (isDeclared) return true
    return false
  }

  /** @returns the service of a version; undefined when no upstream of that version is known here */
  serviceOf (version: VersionHash): ServiceId | undefined {
    for (const [service, versions] of this.#services) if (versions.has(version) || this.serviceVersion(service) === version) return service
    // A process that has declared its version since is still known by the one that it had of its own.
    return this.#upstreams.find(upstream => this.processVersion(upstream) === version)?.service
  }

  /** Records that a stream is sent to an upstream. A stream whose next attempt goes elsewhere before its first event is recorded again. */
  recordSend (stream: StreamHash, version: VersionHash, now: Millis): void {
    this.#streams.set(stream, version, now)
    this.#ownStreams.set(stream, version, now)
    if (this.#unsent.size < MAX_OWN_STREAMS) this.#unsent.set(stream, version)
  }

  /** Applies a report of a peer gateway. */
  applyReport ({ version, streams }: StreamVersionReport, now: Millis): void {
    for (const stream of streams) this.#streams.set(stream, version, now)
  }

  /** @returns the version of a recent stream; undefined when it is not known here */
  versionOfStream (stream: StreamHash): VersionHash | undefined {
    return this.#streams.get(stream)
  }

  /** @returns the streams of this gateway since the last call, to be sent to peer gateways */
  takeUnsent (): StreamVersionReport[] {
    const unsent = this.#unsent
    this.#unsent = new Map()
    return groupByVersion(unsent)
  }

  /** @returns the recent streams of this gateway, to be sent to a gateway that has just become reachable */
  recent (): StreamVersionReport[] {
    return this.#ownStreams.reports()
  }

  /** Forgets versions at which no stream can have begun any more, and streams that have ended. */
  expire (now: Millis): void {
    this.#streams.expire(now, this.retentionMs)
    this.#ownStreams.expire(now, this.retentionMs)
    for (const [service, versions] of this.#services) {
      for (const [version, { goneAt }] of versions) if (goneAt !== undefined && now - goneAt > this.retentionMs) versions.delete(version)
      if (versions.size === 0) this.#services.delete(service)
    }
  }

  /** Time for which versions and streams are remembered. */
  get retentionMs (): Millis {
    return this.longestStreamMs + STREAM_RETENTION_MARGIN_MS
  }

  #versions (service: ServiceId): Map<VersionHash, ServedVersion> {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const versions = new Map<VersionHash, ServedVersion>()
    this.#services.set(service, versions)
    return versions
  }
}

/** Software versions of upstreams, which tell where a stream of events may go on. */
import type { Id, Millis, ServiceId, UpstreamId } from '@fuchsiaworks/kernel'

/** Version of an upstream's software. Versions have no order; a stream may go on only at the version that began it. */
export type SoftwareVersion = Id<'software-version'>

/**
 * Hash of a service and a software version, the same at all gateways. A process that declares no version has one of its own; a service whose upstreams declare none has one
 * that stands for all of them.
 */
export type VersionHash = number

/** One process of an upstream. */
export interface VersionedUpstream {
  readonly id: UpstreamId
  readonly service: ServiceId
  /** Undefined when it declares none. */
  readonly version: SoftwareVersion | undefined
  /** Start of the process in Unix milliseconds; undefined when its entry has none. */
  readonly startedAt: number | undefined
}

/** Hash of the id of the attempt that began a stream, by which its callers name it. */
export type StreamHash = number

/** Streams that have been sent to upstreams of one version. */
export interface StreamVersionReport {
  readonly version: VersionHash
  readonly streams: readonly StreamHash[]
}

/** Versions at which the streams of a service may have begun. */
export interface VersionCandidates {
  readonly declared: ReadonlySet<VersionHash>
  /** Versions of processes that declare none. */
  readonly undeclared: ReadonlySet<VersionHash>
}

/** What a peer gateway knows of a stream. */
export interface StreamVersionAnswer {
  /** Undefined when the stream is not known there. */
  readonly version: VersionHash | undefined
  readonly candidates: VersionCandidates
  /** Time for which that gateway has known the complete list of upstreams; 0 while its list is old. */
  readonly knownForMs: Millis
}

/** Services of the route of a stream. */
export interface StreamRoute {
  /** Services to which the route leads, so that the stream may go on there. */
  readonly targets: readonly ServiceId[]
  /** Services at which the stream may have begun: the targets, and those to which an earlier configuration led within the lifetime of a stream. */
  readonly origins: readonly ServiceId[]
}

/** Where a stream that a caller takes up may go on. */
export type StreamVersionDecision =
  /** At any upstream of the service to which the request is routed: its upstreams declare no versions. */
  | { readonly kind: 'any' }
  /** At any upstream of this service, where the stream has begun: its upstreams declare no versions. */
  | { readonly kind: 'service', readonly service: ServiceId }
  /** At upstreams of this version of the service only. */
  | { readonly kind: 'only', readonly service: ServiceId, readonly version: VersionHash }
  /** Nowhere: no upstream of the version that began it is known. */
  | { readonly kind: 'gone' }
  /** Nowhere: the route does not lead to the service that began it any more. */
  | { readonly kind: 'moved', readonly service: ServiceId }
  /** This gateway does not know; its peers may. */
  | { readonly kind: 'unknown' }

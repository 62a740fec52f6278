/** Events of the time line, by kind. */
import type { HostId, Incarnation, RequestId, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '../ids/ids.js'
import type { Millis } from '../clock/clock.js'

/** What happened to one request. */
export interface RequestEvent {
  readonly kind: 'request-received' | 'request-offered' | 'request-handed-over' | 'request-started' | 'request-first-byte' |
    'request-resumed' | 'request-declined' | 'request-retried' | 'request-ended' | 'request-refused' | 'request-abandoned'
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  readonly upstream?: UpstreamId
  readonly detail?: string
}

/** What happened to a link between two processes. */
export interface LinkEvent {
  readonly kind: 'link-up' | 'link-silent' | 'link-replaced' | 'link-down'
  readonly peer: HostId
  readonly detail?: string
}

/** What happened to the shared configuration in this process. */
export interface RevisionEvent {
  readonly kind: 'revision-accepted' | 'revision-refused'
  readonly revision: number
  readonly detail?: string
}

/** A change of a zone, an upstream or a limit, as this process sees it. */
export interface StateEvent {
  readonly kind: 'zone-changed' | 'upstream-changed' | 'limit-changed' | 'drain-started' | 'fingerprint-refused'
  readonly zone?: ZoneId
  readonly upstream?: UpstreamId
  readonly detail: string
}

/** This process was stopped or its loop was blocked. */
export interface PauseEvent {
  readonly kind: 'pause-seen'
  readonly length: Millis
}

/** Any event of the time line. */
export type TimeLineEvent = RequestEvent | LinkEvent | RevisionEvent | StateEvent | PauseEvent

/** An event with its place in time. */
export interface TimeLineEntry {
  /** Rising number within the process. */
  readonly seq: number
  /** Wall-clock milliseconds of the process. */
  readonly at: Millis
  readonly host: HostId
  readonly incarnation: Incarnation
  readonly event: TimeLineEvent
}

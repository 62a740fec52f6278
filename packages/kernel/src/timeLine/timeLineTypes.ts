/** Events of the time line, by kind. */
import type { HostId, Incarnation, RequestId, ServiceId, UpstreamId, WorkspaceId, ZoneId } from '../ids/ids.js'
import type { Millis } from '../clock/clock.js'

/** Event of one request. */
export interface RequestEvent {
  readonly kind: 'request-received' | 'request-offered' | 'request-handed-over' | 'request-started' | 'request-first-byte' |
    'request-resumed' | 'request-declined' | 'request-retried' | 'request-ended' | 'request-refused' | 'request-abandoned'
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly service: ServiceId
  readonly upstream?: UpstreamId
  readonly detail?: string
}

/**
 * Event of a link between two processes. `link-silent`: no data for longer than the silence limit; `link-replaced`: the session was
 * resumed over a new connection; `link-down`: the connection was lost or the session has ended.
 */
export interface LinkEvent {
  readonly kind: 'link-up' | 'link-silent' | 'link-replaced' | 'link-down'
  readonly peer: HostId
  readonly detail?: string
}

/** A revision of the shared configuration was accepted or refused by this process. */
export interface RevisionEvent {
  readonly kind: 'revision-accepted' | 'revision-refused'
  readonly revision: number
  readonly detail?: string
}

/** State change of a zone, an upstream or a limit as observed by this process, the start of a drain, or a request fingerprint put in quarantine. */
export interface StateEvent {
  readonly kind: 'zone-changed' | 'upstream-changed' | 'limit-changed' | 'drain-started' | 'fingerprint-refused'
  readonly zone?: ZoneId
  readonly upstream?: UpstreamId
  readonly detail: string
}

/** This process was stopped or its event loop was blocked. */
export interface PauseEvent {
  readonly kind: 'pause-seen'
  readonly length: Millis
}

/** Any event of the time line. */
export type TimeLineEvent = RequestEvent | LinkEvent | RevisionEvent | StateEvent | PauseEvent

/** A recorded event with its timestamp and origin. */
export interface TimeLineEntry {
  /** Sequence number within the process, ascending from 0. */
  readonly seq: number
  /** Wall-clock time of the process, in milliseconds since the Unix epoch. */
  readonly at: Millis
  readonly host: HostId
  readonly incarnation: Incarnation
  readonly event: TimeLineEvent
}

/** A request of a caller while the router is responsible for it. */
import type { ServerResponse } from 'node:http'
import { FuchsiaError, type Fingerprint, type Millis, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { WaitingRequest } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { ResponseWriter } from './responseWriter.js'
import type { BodyReader, BodyPrefix } from './bodyReader.js'

/** Immutable properties of a request. */
export interface RequestFacts {
  readonly id: RequestId
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly method: string
  /** Path and query without the leading service segment. */
  readonly path: string
  readonly headers: HeaderList
  readonly idempotent: boolean
  /** Idempotency-Key of the caller. */
  readonly key: string | undefined
  readonly fingerprint: Fingerprint
  /** Estimated cost, in cost units. */
  readonly estimate: number
  /** Maximum time in the queue, in milliseconds. */
  readonly patience: Millis
  /** Maximum number of queued requests of the workspace for the service. */
  readonly maxWaiting: number
}

/** State of an open request: its connection to the caller and the attempt in progress. */
export interface OpenRequest {
  readonly facts: RequestFacts
  readonly res: ServerResponse
  readonly bodyPrefix: BodyPrefix
  readonly reader: BodyReader
  readonly writer: ResponseWriter
  /** Link to the agent to which the request is handed over; undefined while the request waits in the queue. */
  holder: FleetLink | undefined
  /** Upstream of the latest handover. */
  upstream: UpstreamId | undefined
  /** Queue entry of the latest handover; a declined or retried request returns to this position. */
  queueEntry: WaitingRequest | undefined
  /** True once the agent has reported that it started the request. */
  accepted: boolean
  /** True once an earlier attempt may have run, so that the outcome can no longer be reported as not run. */
  mayHaveRun: boolean
  /** Number of handovers. */
  attempts: number
  /** True when the request is suspected of crashing upstreams and must run without other requests beside it. */
  alone: boolean
}

/** Thrown when the upstream of the latest attempt is needed for a request that was never handed over to an agent. */
export class NotHandedOverError extends FuchsiaError {
  constructor (request: RequestId) {
    super('not-handed-over', `request ${request} was never handed over to an agent`)
  }
}

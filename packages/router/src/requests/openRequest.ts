/** One caller's request while the router is responsible for it. */
import type { ServerResponse } from 'node:http'
import { FuchsiaError, type Fingerprint, type Millis, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { WaitingRequest } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { ResponseWriter } from './responseWriter.js'
import type { BodyReader, BodyPrefix } from './bodyReader.js'

/** What the request is. */
export interface RequestFacts {
  readonly id: RequestId
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly method: string
  /** Path and query below the service. */
  readonly path: string
  readonly headers: HeaderList
  readonly idempotent: boolean
  readonly key: string | undefined
  readonly fingerprint: Fingerprint
  /** Estimated cost, in cost units. */
  readonly estimate: number
  /** Milliseconds that it may wait. */
  readonly patience: Millis
  /** Requests that its workspace may have waiting for the service. */
  readonly maxWaiting: number
}

/** The request with its connection and its holder. */
export interface OpenRequest {
  readonly facts: RequestFacts
  readonly res: ServerResponse
  readonly bodyPrefix: BodyPrefix
  readonly reader: BodyReader
  readonly writer: ResponseWriter
  /** The agent that holds it; undefined while it waits here. */
  holder: FleetLink | undefined
  /** Upstream of the last handover. */
  upstream: UpstreamId | undefined
  /** Its place in the queue, to which it returns when it is declined. */
  queueEntry: WaitingRequest | undefined
  /** True once the agent said that it started it. */
  accepted: boolean
  /** True once an earlier attempt may have run, so that it can no longer be refused as not run. */
  mayHaveRun: boolean
  /** Times that it was handed over. */
  attempts: number
  /** True when it may have ended an upstream and must run alone. */
  alone: boolean
}

/** Something was said of an attempt at a request that was never handed over. */
export class NotHandedOverError extends FuchsiaError {
  constructor (request: RequestId) {
    super('not-handed-over', `request ${request} was never handed over`)
  }
}

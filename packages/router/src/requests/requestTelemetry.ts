/** Writes down what happens to requests: time line, metrics and recent refusals. */
import { type Millis, type RequestEvent, type ServiceKey, serviceKey, type UpstreamId } from '@fuchsiaworks/kernel'
import type { ProcessContext } from '@fuchsiaworks/fleet'
import type { Problem } from '../callers/problem.js'
import type { OpenRequest } from './openRequest.js'
import { RecentRefusals } from './refusals.js'

/** How a request ended for its caller. */
export type RequestEnding = 'answered' | 'cut' | Problem['outcome']

/** Records of the requests of this router. */
export class RequestTelemetry {
  readonly refusals = new RecentRefusals()

  constructor (readonly context: ProcessContext) {}

  /** Adds an event of a request to the time line. */
  record (kind: RequestEvent['kind'], { facts }: OpenRequest, detail?: string, upstream?: UpstreamId): void {
    const { id, workspace, service } = facts
    const optionalFields = { ...(detail === undefined ? {} : { detail }), ...(upstream === undefined ? {} : { upstream }) }
    this.context.timeLine.record({ kind, request: id, workspace, service, ...optionalFields })
  }

  /** Notes that a request was received. */
  recordReceived (request: OpenRequest): void {
    this.record('request-received', request)
    this.context.metrics.count('requests.received', 1, { service: request.facts.service })
  }

  /** Notes that a request was refused. */
  recordRefused (request: OpenRequest, reason: string, { status, outcome }: Problem, retryAfterMs: Millis): void {
    const { id, workspace, service } = request.facts
    this.record('request-refused', request, reason)
    this.refusals.add({ at: this.context.clock.wall(), request: id, workspace, service, status, outcome, reason, retryAfterMs })
    this.context.metrics.count('requests.refused', 1, { reason, service })
  }

  /** Notes the end of a request. */
  recordEnded (request: OpenRequest, outcome: RequestEnding, detail?: string): void {
    this.record('request-ended', request, detail)
    this.context.metrics.count('requests.ended', 1, { outcome, service: request.facts.service })
  }
}

/** Key of the journal. */
export const requestTelemetryKey: ServiceKey<RequestTelemetry> = serviceKey('request-journal')

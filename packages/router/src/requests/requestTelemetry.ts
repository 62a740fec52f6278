/** Records the lifecycle of requests in the time line, the metrics and the list of recent refusals. */
import { type Millis, type RequestEvent, type ServiceKey, serviceKey, type UpstreamId } from '@fuchsiaworks/kernel'
import type { ProcessContext } from '@fuchsiaworks/fleet'
import type { Problem } from '../callers/problem.js'
import type { OpenRequest } from './openRequest.js'
import { RecentRefusals } from './recentRefusals.js'

/** Outcome of a request for its caller; value of the `outcome` tag of a metric. `cut`: the connection was closed before the response was complete. */
export type RequestEnding = 'answered' | 'cut' | Problem['outcome']

/** Telemetry of the requests of this router. */
export class RequestTelemetry {
  readonly refusals = new RecentRefusals()

  constructor (readonly context: ProcessContext) {}

  /** Adds a request event to the time line. */
  record (kind: RequestEvent['kind'], { facts }: OpenRequest, detail?: string, upstream?: UpstreamId): void {
    const { id, workspace, service } = facts
    const optionalFields = { ...(detail === undefined ? {} : { detail }), ...(upstream === undefined ? {} : { upstream }) }
    this.context.timeLine.record({ kind, request: id, workspace, service, ...optionalFields })
  }

  recordReceived (request: OpenRequest): void {
    this.record('request-received', request)
    this.context.metrics.count('requests.received', 1, { service: request.facts.service })
  }

  recordRefused (request: OpenRequest, reason: string, { status, outcome }: Problem, retryAfterMs: Millis): void {
    const { id, workspace, service } = request.facts
    this.record('request-refused', request, reason)
    this.refusals.add({ at: this.context.clock.wall(), request: id, workspace, service, status, outcome, reason, retryAfterMs })
    this.context.metrics.count('requests.refused', 1, { reason, service })
  }

  recordEnded (request: OpenRequest, outcome: RequestEnding, detail?: string): void {
    this.record('request-ended', request, detail)
    this.context.metrics.count('requests.ended', 1, { outcome, service: request.facts.service })
  }
}

export const requestTelemetryKey: ServiceKey<RequestTelemetry> = serviceKey('request-telemetry')

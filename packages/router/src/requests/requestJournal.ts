/** Writes down what happens to requests: time line, metrics and recent refusals. */
import { type Millis, type RequestEvent, type ServiceKey, serviceKey, type UpstreamId } from '@fuchsiaworks/kernel'
import type { ProcessContext } from '@fuchsiaworks/fleet'
import type { Problem } from '../callers/problem.js'
import type { OpenRequest } from './openRequest.js'
import { Refusals } from './refusals.js'

/** How a request ended for its caller. */
export type Ending = 'answered' | 'cut' | Problem['outcome']

/** Records of the requests of this router. */
export class RequestJournal {
  readonly refusals = new Refusals()

  constructor (readonly context: ProcessContext) {}

  /** Adds an event of a request to the time line. */
  record (kind: RequestEvent['kind'], { facts }: OpenRequest, detail?: string, upstream?: UpstreamId): void {
    const { id, workspace, service } = facts
    const extra = { ...(detail === undefined ? {} : { detail }), ...(upstream === undefined ? {} : { upstream }) }
    this.context.timeLine.record({ kind, request: id, workspace, service, ...extra })
  }

  /** Notes that a request was received. */
  received (request: OpenRequest): void {
    this.record('request-received', request)
    this.context.metrics.count('requests.received', 1, { service: request.facts.service })
  }

  /** Notes that a request was refused. */
  refused (request: OpenRequest, reason: string, { status, outcome }: Problem, retryAfterMs: Millis): void {
    const { id, workspace, service } = request.facts
    this.record('request-refused', request, reason)
    this.refusals.add({ at: this.context.clock.wall(), request: id, workspace, service, status, outcome, reason, retryAfterMs })
    this.context.metrics.count('requests.refused', 1, { reason, service })
  }

  /** Notes the end of a request. */
  ended (request: OpenRequest, outcome: Ending, detail?: string): void {
    this.record('request-ended', request, detail)
    this.context.metrics.count('requests.ended', 1, { outcome, service: request.facts.service })
  }
}

/** Key of the journal. */
export const requestJournalKey: ServiceKey<RequestJournal> = serviceKey('request-journal')

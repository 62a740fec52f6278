/** The software version that began the stream of one request, which its caller may have received in part from other gateways. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import { decideStreamVersion, routeCandidates, type StreamRoute, type StreamVersionDecision, uniteCandidates, type VersionHash } from '@fuchsiaworks/policy'
import { pathOf, targetServices } from '../routing/findRoute.js'
import type { GatewayUpstream } from '../routing/routingTypes.js'
import type { Admission } from './admission.js'
import type { CallerRequest } from './callerRequest.js'
import type { FlowContext } from './flowContext.js'
import { listKnowledge, type LookupResult } from './streamVersionLookup.js'

/** Why a stream that its caller takes up is refused. */
type TakeUpRefusal = 'version-gone' | 'version-unknown' | 'service-gone'

/** Ties a request to the service and the version at which its stream has begun, and tells peer gateways of it. */
export class StreamOrigin {
  readonly #ctx: FlowContext
  readonly #request: CallerRequest
  readonly #admission: Admission
  /** What peer gateways told; undefined when they were not asked. */
  #lookup: LookupResult | undefined
  #askedAt: Millis = 0

  /**
   * @param ctx - services of the process
   * @param request - the request
   * @param admission - restricted to the version once that is known
   */
  constructor (ctx: FlowContext, request: CallerRequest, admission: Admission) {
    this.#ctx = ctx
    this.#request = request
    this.#admission = admission
  }

  /** True when the caller has received a part of the stream before. */
  get isTakenUp (): boolean {
    const { head, route } = this.#request
    return route.isStream && (head.resumes !== undefined || head.lastEventId !== undefined)
  }

  /** Decides where a stream that the caller takes up may go on, by what is known here. */
  decide (): StreamVersionDecision {
    const { fleet, streamVersions } = this.#ctx
    return decideStreamVersion(streamVersions, this.#streamRoute, this.#stream, listKnowledge(fleet))
  }

  /** Asks peer gateways where the stream may go on. */
  async ask (): Promise<StreamVersionDecision> {
    this.#askedAt = this.#ctx.clock.now()
    const { route, target } = this.#request
    this.#lookup = await this.#ctx.streamVersionLookup.ask({ ...this.#streamRoute, host: route.host, path: pathOf(target) }, this.#stream)
    return this.#lookup.decision
  }

  /**
   * Restricts the request to the service and the version at which its stream may go on, and records the decision with what it is based on.
   *
   * @returns why the request is to be refused; undefined when it may go on
   */
  apply (decision: StreamVersionDecision): TakeUpRefusal | undefined {
    const refusal = this.#restrict(decision)
    const outcome = refusal === 'version-gone' ? 'gone' : decision.kind
    this.#ctx.metrics.streamsTakenUp.inc({ decision: outcome })
    this.#logTakenUp(outcome)
    return refusal
  }

  #restrict (decision: StreamVersionDecision): TakeUpRefusal | undefined {
    switch (decision.kind) {
      case 'any':
        return undefined
      case 'service':
        this.#admission.routeTo(decision.service)
        return undefined
      case 'only':
        this.#admission.routeTo(decision.service)
        this.#admission.version = decision.version
        return this.#admission.hasVersion ? undefined : 'version-gone'
      case 'gone':
        return 'version-gone'
      case 'moved':
        return 'service-gone'
      case 'unknown':
        return 'version-unknown'
      default:
        return assertNever(decision)
    }
  }

  /** Records, before the first event, at which version the stream may begin: others have to know it when this gateway ends. */
  recordSend (upstream: GatewayUpstream): void {
    const { clock, recorders, streamVersions } = this.#ctx
    const { route, service } = this.#request
    const isRecorded = route.isStream && route.repeatability === 'resumable'
    const stream = this.#stream
    if (!isRecorded || stream === undefined) return
    const version = streamVersions.isVersioned(service) ? this.#versionOf(upstream) : streamVersions.serviceVersion(service)
    recorders.record(stream, version, streamVersions.versionOfStream(stream))
    streamVersions.recordSend(stream, version, clock.now())
  }

  /** Ties the stream to the version whose events have been forwarded. */
  recordBegin (upstream: GatewayUpstream): void {
    const { route, service } = this.#request
    if (route.isStream && this.#ctx.streamVersions.isVersioned(service)) this.#admission.version = this.#versionOf(upstream)
  }

  #logTakenUp (decision: string): void {
    const { clock, fleet, requestLog, streamVersions } = this.#ctx
    const { head, service } = this.#request
    const list = listKnowledge(fleet)
    const { asked, answers, isConfirmed } = this.#lookup ?? { asked: 0, answers: [], isConfirmed: false }
    const isKnownHere = this.#stream !== undefined && streamVersions.versionOfStream(this.#stream) !== undefined
    const source = answers.find(({ version }) => version !== undefined)?.address
    const { targets, origins } = this.#streamRoute
    const { declared, undeclared } = uniteCandidates([routeCandidates(streamVersions, this.#streamRoute), ...answers.map(({ candidates }) => candidates)])
    requestLog.write('stream taken up', {
      request: head.attempt,
      resumes: head.resumes ?? '',
      lastEventId: head.lastEventId ?? -1,
      service,
      targets: targets.join(','),
      origins: origins.join(','),
      decision,
      knownBy: isKnownHere ? 'self' : source ?? 'none',
      declared: declared.size,
      undeclared: undeclared.size,
      listAgeMs: Number.isFinite(list.ageMs) ? Math.round(list.ageMs) : -1,
      completeForMs: Math.round(list.completeForMs),
      confirmed: isConfirmed,
      asked,
      answers: answers.map(({ address, knownForMs }) => `${address}=${knownForMs}`).join(','),
      lookupMs: this.#lookup === undefined ? 0 : Math.round(clock.now() - this.#askedAt)
    })
  }

  /** The services of the route by which the request was admitted, and of earlier ones for its path. */
  get #streamRoute (): StreamRoute {
    const { route, target } = this.#request
    const targets = targetServices(route)
    return { targets, origins: [...new Set([...targets, ...this.#ctx.recentRoutes.originsOf(route.host, pathOf(target))])] }
  }

  /** The stream, the same for all tries of its caller; undefined when the caller does not name the one that it takes up. */
  get #stream (): number | undefined {
    const { attempt, lastEventId, resumes } = this.#request.head
    const origin = resumes ?? (lastEventId === undefined ? attempt : undefined)
    return origin === undefined ? undefined : this.#ctx.hash(origin)
  }

  /** Version of the process that answers; while the list may be behind, one that only this process has. */
  #versionOf (upstream: GatewayUpstream): VersionHash {
    const { streamVersions } = this.#ctx
    return this.#admission.isProcessKnown(upstream) ? streamVersions.versionOf(upstream) : streamVersions.processVersion(upstream)
  }
}

/** Open-loop load of requests of all kinds, and probes that check which configuration a gateway has applied. */
import { drawInterval, pickWeighted, type Random } from '@fuchsiaworks/bench'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import type { Observations, RequestKind, SentRequest } from '../invariants/observationTypes.js'
import type { Fleet } from '../world/fleet.js'
import type { Operator } from '../world/operator.js'
import { ROUTE_TIMEOUTS_MS } from '../world/routes.js'
import { CRASH_PART, CRASH_REQUEST_BODY, lastEventIdOf } from '../world/upstreamResponses.js'
import { Caller } from './caller.js'

/** Mean request rate per gateway. */
const REQUESTS_PER_SECOND = 24

/** Share of requests on a new connection, and of callers that disconnect early. */
const NEW_CONNECTION_SHARE = 0.15
const DISCONNECT_SHARE = 0.08

/** Longest time from a request to an early disconnect. */
const MAX_DISCONNECT_DELAY_MS: Millis = 300

/** Time after which a caller takes up a stream that broke. */
const COME_BACK_MS: Millis = 60

/** Share of requests sent with a revoked key. */
const REVOKED_KEY_SHARE = 0.1

/** Time between two sends of the crash request, to varying gateways, and its path. */
const CRASH_REQUEST_INTERVAL_MS: Millis = 900
const CRASH_REQUEST_PATH = '/once/poison'

/** Time between two requests with the crash part, which differ in all else. */
const CRASH_PART_INTERVAL_MS: Millis = 1700

/** Prompt parts that streams share, besides one of all streams. */
const SUBJECT_COUNT = 40

/** Time between two probes of a gateway. */
const PROBE_INTERVAL_MS: Millis = 150

/** Sends random requests, crash requests and probes to the fleet. */
export class LoadGenerator {
  readonly #callers: readonly Caller[]
  readonly #timers: Timer[] = []
  #nextRequestTimer: Timer | undefined
  #requestCount = 0
  #isStopped = false

  /**
   * @param clock - source of time
   * @param random - seeded random numbers
   * @param fleet - gateways to send to
   * @param operator - source of API keys and the current revision
   * @param observations - receives the requests
   */
  constructor (readonly clock: Clock, readonly random: Random, readonly fleet: Fleet, readonly operator: Operator, readonly observations: Observations) {
    this.#callers = fleet.gateways.map(({ ports }) => new Caller(clock, ports.callers))
  }

  start (): void {
    this.#scheduleNext()
    this.#timers.push(this.clock.every(CRASH_REQUEST_INTERVAL_MS, () => { this.#sendCrashRequest() }))
    this.#timers.push(this.clock.every(CRASH_PART_INTERVAL_MS, () => { this.#sendCrashPart() }))
    for (const { index } of this.fleet.gateways) this.#timers.push(this.clock.every(PROBE_INTERVAL_MS, () => { this.#probe(index) }))
  }

  /** Sends the crash request, as a caller does that retries it forever. */
  #sendCrashRequest (): void {
    const healthyGateways = this.fleet.loadBalancer.healthyGateways()
    const gateway = healthyGateways[this.#requestCount % Math.max(1, healthyGateways.length)]
    const apiKey = this.operator.keyOfFirstWorkspace()
    if (gateway === undefined || apiKey === undefined) return
    this.#callers[gateway]?.send(this.#recordRequest(gateway, 'once', CRASH_REQUEST_PATH, undefined, apiKey, { body: CRASH_REQUEST_BODY }), { isNewConnection: true })
  }

  /** Sends a stream with the crash part, as one of many callers whose prompts have it; crashes are faults, so none is sent after the last fault. */
  #sendCrashPart (): void {
    if (this.observations.faultFreeFrom !== undefined) return
    const healthyGateways = this.fleet.loadBalancer.healthyGateways()
    const gateway = healthyGateways[this.#requestCount % Math.max(1, healthyGateways.length)]
    const apiKey = this.operator.keyOfFirstWorkspace()
    if (gateway === undefined || apiKey === undefined) return
    const sent = this.#recordRequest(gateway, 'stream', `/stream/x?n=${this.#requestCount}`, undefined, apiKey, { parts: this.#promptParts().replace(',', `,${CRASH_PART}:20,`) })
    this.#callers[gateway]?.send(sent, { isNewConnection: true })
  }

  /** Parts of the prompt of the next stream. */
  #promptParts (): string {
    return `a1:200,b${this.#requestCount % SUBJECT_COUNT}:100,c${this.#requestCount}:50`
  }

  /** Stops sending; open requests continue. */
  stop (): void {
    this.#isStopped = true
    this.#nextRequestTimer?.close()
    for (const timer of this.#timers) timer.close()
  }

  close (): void {
    this.stop()
    for (const caller of this.#callers) caller.close()
  }

  #scheduleNext (): void {
    const meanMs = 1000 / (REQUESTS_PER_SECOND * this.fleet.gateways.length)
    this.#nextRequestTimer = this.clock.after(drawInterval(this.random, meanMs), () => {
      this.#sendOne()
      this.#scheduleNext()
    })
  }

  #sendOne (): void {
    const healthyGateways = this.fleet.loadBalancer.healthyGateways()
    const gateway = healthyGateways[Math.floor(this.random() * healthyGateways.length)]
    if (gateway === undefined) return
    const kind = pickWeighted<RequestKind>(this.random, [['safe', 3], ['once', 3], ['stream', 4]])
    const apiKey = this.operator.drawApiKey(this.random, this.random() < REVOKED_KEY_SHARE)
    const sent = this.#recordRequest(gateway, kind, `/${kind}/x?n=${this.#requestCount}`, undefined, apiKey, kind === 'stream' ? { parts: this.#promptParts() } : {})
    const disconnectAfterMs = this.random() < DISCONNECT_SHARE ? this.random() * MAX_DISCONNECT_DELAY_MS : undefined
    this.#callers[gateway]?.send(sent, { isNewConnection: this.random() < NEW_CONNECTION_SHARE, disconnectAfterMs, onEnd: () => { this.#takeUpLater(sent) } })
  }

  /** Takes up a stream that broke after its first event, once, at the next gateway. */
  #takeUpLater (broken: SentRequest): void {
    const { attempt, kind, end, gateway, path, body, key, workspace, parts } = broken
    const lastEventId = end?.kind === 'broken' && end.status === 200 ? lastEventIdOf(end.body) : 0
    if (this.#isStopped || kind !== 'stream' || lastEventId === 0 || key === undefined || workspace === undefined) return
    this.#timers.push(this.clock.after(COME_BACK_MS, () => {
      const healthyGateways = this.fleet.loadBalancer.healthyGateways()
      const next = healthyGateways.find(index => index > gateway) ?? healthyGateways[0]
      if (next === undefined) return
      const sent = this.#recordRequest(next, 'stream', path, undefined, { key, workspace }, { body, ...parts === undefined ? {} : { parts }, resumes: { attempt, lastEventId } })
      this.#callers[next]?.send(sent, { isNewConnection: true })
    }))
  }

  #probe (gateway: number): void {
    const { revision } = this.operator
    const sent = this.#recordRequest(gateway, 'probe', `/probe-${revision}/x`, revision, undefined)
    this.#callers[gateway]?.send(sent, { isNewConnection: false })
  }

  #recordRequest (gateway: number, kind: RequestKind, path: string, revision: number | undefined, apiKey: { key: string, workspace: string } | undefined, content: Pick<Partial<SentRequest>, 'body' | 'parts' | 'resumes'> = {}): SentRequest {
    this.#requestCount += 1
    const sent: SentRequest = {
      gateway,
      incarnation: this.fleet.gateways[gateway]?.incarnation ?? 0,
      attempt: `a${this.#requestCount}`,
      kind,
      path,
      body: `body ${this.#requestCount - 1}`,
      ...content,
      key: apiKey?.key,
      workspace: apiKey?.workspace,
      sentAt: this.clock.now(),
      timeoutMs: ROUTE_TIMEOUTS_MS[kind],
      revision,
      end: undefined
    }
    this.observations.requests.push(sent)
    return sent
  }
}

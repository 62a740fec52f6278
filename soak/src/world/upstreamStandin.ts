/** Upstream stand-in: serves plain responses and streams, records arrivals, and fails on demand. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import { resetSocket } from '@fuchsiaworks/standins'
import type { Arrival, Observations } from '../invariants/observationTypes.js'
import type { RefusalRepeater } from './refusalRepeater.js'
import type { ResponseRepeater } from './responseRepeater.js'
import { plainBody, CRASH_PART, CRASH_REQUEST_BODY, sealOf, EVENTS_PER_STREAM, streamEvent, streamEvents } from './upstreamResponses.js'

/** Processing time of a plain response, and time between two events of a stream. */
const PLAIN_WORK_MS = 25
const EVENT_INTERVAL_MS = 25

/** Time from the first event of a response to `CRASH_PART` until the upstream crashes. */
const PART_CRASH_DELAY_MS: Millis = 40

/** Time that an upstream which asks for time takes to turn a request away. */
const REJECTION_MS: Millis = 50

/** Requests accepted beyond the number of slots. */
const QUEUE_CAPACITY = 8

/** Fault of an upstream. `hang`: accepts requests and never responds; `full`: declines all requests. */
export type UpstreamFault = 'none' | 'hang' | 'full' | 'truncate-responses' | 'extra-bytes'

/** Identity and capacity of an upstream. */
export interface UpstreamProperties {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly slots: number
  /** Software version. */
  readonly version?: string
  /** True when each event of a stream names the version. */
  readonly namesVersion?: boolean
  /** Time between two events of a stream. */
  readonly eventIntervalMs?: Millis
}

/** A request that the upstream runs. */
interface ActiveRun {
  readonly arrival: Arrival
  readonly res: ServerResponse
  timer: Timer | undefined
}

const singleHeader = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** A running upstream. */
export class UpstreamStandin {
  fault: UpstreamFault = 'none'
  /** Requests a second that the upstream announces in its responses to take from all gateways; undefined for no limit. */
  requestLimit: number | undefined
  /** Time for which the upstream wants no requests: it turns all away and says so; undefined while it serves. */
  askedTimeMs: Millis | undefined
  /** Refuses some requests and repeats the refusals; undefined for a sound upstream. */
  refusalRepeater: RefusalRepeater | undefined
  /** Breaks some responses off and writes them once more; undefined for a sound upstream. */
  responseRepeater: ResponseRepeater | undefined
  readonly #server: Server
  readonly #runs = new Set<ActiveRun>()

  /**
   * @param clock - source of time
   * @param properties - identity and capacity
   * @param observations - receives the arrivals
   * @param onCrashRequest - called when the crash request starts to run, or a response to the crash part has begun
   */
  constructor (readonly clock: Clock, readonly properties: UpstreamProperties, readonly observations: Observations, readonly onCrashRequest: () => void) {
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => { this.#receive(req, res) })
  }

  /** True once the upstream has crashed or was closed. */
  get isClosed (): boolean {
    return !this.#server.listening
  }

  get #eventIntervalMs (): Millis {
    return this.properties.eventIntervalMs ?? EVENT_INTERVAL_MS
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** @param port - port on loopback; a free one if not given */
  async start (port = 0): Promise<void> {
    await new Promise<void>(resolve => { this.#server.listen(port, '127.0.0.1', resolve) })
  }

  /** Resets all connections and stops listening. */
  crash (): void {
    for (const run of [...this.#runs]) {
      this.#endRun(run, 'failed')
      if (run.res.socket !== null) resetSocket(run.res.socket)
    }
    this.close()
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    req.on('end', () => { this.#admit(req, res, Buffer.concat(chunks).toString()) })
  }

  #admit (req: IncomingMessage, res: ServerResponse, body: string): void {
    const isExpectedUpstream = req.headers[HEADER.expectedUpstream] === this.properties.id
    const isFull = this.fault === 'full' || this.askedTimeMs !== undefined || this.#runs.size >= this.properties.slots + QUEUE_CAPACITY || this.refusalRepeater?.countArrival() === true
    const arrival = this.#recordArrival(req, body, isExpectedUpstream && !isFull, singleHeader(req, HEADER.promptParts))
    if (arrival.ran) return this.#execute(arrival, res)
    if (isExpectedUpstream) this.#announceLimit(res)
    if (isExpectedUpstream && this.askedTimeMs !== undefined) return this.#askForTime(arrival, res, this.askedTimeMs)
    if (isExpectedUpstream) this.refusalRepeater?.recordRefusal(res, arrival.attempt)
    res.writeHead(isExpectedUpstream ? 503 : 421, { [HEADER.notExecuted]: '1', [HEADER.attemptId]: arrival.attempt }).end()
  }

  /** Turns a request away, later than a sound upstream would. */
  #askForTime ({ attempt }: Arrival, res: ServerResponse, askedTimeMs: Millis): void {
    this.clock.after(REJECTION_MS, () => {
      res.writeHead(503, { [HEADER.notExecuted]: '1', [HEADER.attemptId]: attempt, [HEADER.retryAfter]: String(askedTimeMs / 1000) }).end()
    })
  }

  #recordArrival (req: IncomingMessage, body: string, ran: boolean, parts: string | undefined): Arrival {
    const lastEventId = Number(singleHeader(req, HEADER.lastEventId) ?? 0)
    const path = req.url ?? ''
    const workMs: Millis = path.startsWith('/stream/') ? (EVENTS_PER_STREAM - lastEventId) * this.#eventIntervalMs : PLAIN_WORK_MS
    const { id, service, zone, version } = this.properties
    const arrival: Arrival = {
      attempt: singleHeader(req, HEADER.attemptId) ?? 'none',
      upstream: id,
      service,
      zone,
      at: this.clock.now(),
      path,
      body,
      workspace: singleHeader(req, HEADER.workspace),
      hasApiKey: req.headers.authorization !== undefined,
      lastEventId,
      ran,
      ...parts === undefined ? {} : { parts },
      ...version === undefined ? {} : { version },
      workMs,
      endedAt: undefined,
      end: undefined
    }
    this.observations.arrivals.push(arrival)
    return arrival
  }

  #execute (arrival: Arrival, res: ServerResponse): void {
    const run: ActiveRun = { arrival, res, timer: undefined }
    this.#announceLimit(res)
    this.#runs.add(run)
    res.on('close', () => { this.#endRun(run, 'cancelled') })
    this.refusalRepeater?.repeat(res, arrival.attempt)
    if (arrival.body === CRASH_REQUEST_BODY) return this.onCrashRequest()
    if (this.fault === 'hang') {
      arrival.end = 'failed'
      return
    }
    if (arrival.path.startsWith('/stream/')) return this.#startStream(run)
    run.timer = this.clock.after(PLAIN_WORK_MS, () => { this.#sendPlainResponse(run) })
  }

  #announceLimit (res: ServerResponse): void {
    if (this.requestLimit !== undefined) res.setHeader(HEADER.requestLimit, String(this.requestLimit))
  }

  #sendPlainResponse (run: ActiveRun): void {
    const { arrival, res } = run
    const body = plainBody(arrival.attempt, arrival.body)
    if (this.responseRepeater?.drawRepeated() === true) return this.#repeatResponse(run, this.responseRepeater, {}, [body])
    res.writeHead(200, { 'content-length': Buffer.byteLength(body), [HEADER.attemptId]: arrival.attempt, [HEADER.responseSeal]: sealOf(arrival.attempt, 200) })
    if (this.fault === 'truncate-responses') return this.#abortResponse(run, body.slice(0, 100))
    res.end(body)
    if (this.fault === 'extra-bytes') res.socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra')
    this.#endRun(run, 'complete')
  }

  #startStream (run: ActiveRun): void {
    const { arrival, res } = run
    if (arrival.parts?.includes(CRASH_PART) === true) this.clock.after(EVENT_INTERVAL_MS + PART_CRASH_DELAY_MS, () => { this.onCrashRequest() })
    if (this.responseRepeater?.drawRepeated() === true) return this.#repeatResponse(run, this.responseRepeater, { 'content-type': 'text/event-stream' }, streamEvents(arrival.attempt, arrival.lastEventId))
    res.writeHead(200, { 'content-type': 'text/event-stream', [HEADER.attemptId]: arrival.attempt, [HEADER.responseSeal]: sealOf(arrival.attempt, 200) })
    res.flushHeaders()
    if (arrival.lastEventId >= EVENTS_PER_STREAM) return this.#endStream(run)
    this.#scheduleEvent(run, arrival.lastEventId + 1)
  }

  #scheduleEvent (run: ActiveRun, eventId: number): void {
    run.timer = this.clock.after(this.#eventIntervalMs, () => {
      // A hanging upstream sends nothing more and keeps its connections open.
      if (this.fault === 'hang') {
        run.arrival.end = 'failed'
        return
      }
      const event = streamEvent(run.arrival.attempt, eventId, this.properties.namesVersion === true ? this.properties.version : undefined)
      if (this.fault === 'truncate-responses' && eventId > EVENTS_PER_STREAM / 2) return this.#abortResponse(run, event.slice(0, 9))
      run.res.write(event)
      if (eventId < EVENTS_PER_STREAM) return this.#scheduleEvent(run, eventId + 1)
      this.#endStream(run)
    })
  }

  #endStream (run: ActiveRun): void {
    run.res.end()
    this.#endRun(run, 'complete')
  }

  #repeatResponse (run: ActiveRun, repeater: ResponseRepeater, headers: Readonly<Record<string, string>>, parts: readonly string[]): void {
    const { arrival: { attempt }, res } = run
    repeater.write(res, attempt, { ...headers, [HEADER.attemptId]: attempt, [HEADER.responseSeal]: sealOf(attempt, 200) }, parts, isWhole => { this.#endRun(run, isWhole ? 'complete' : 'failed') })
  }

  #abortResponse (run: ActiveRun, partialBody: string): void {
    run.res.write(partialBody)
    this.#endRun(run, 'failed')
    // Let the partial response be sent before the reset, which would discard it.
    this.clock.after(5, () => { if (run.res.socket !== null) resetSocket(run.res.socket) })
  }

  #endRun (run: ActiveRun, end: NonNullable<Arrival['end']>): void {
    if (!this.#runs.delete(run)) return
    run.timer?.close()
    run.arrival.endedAt = this.clock.now()
    run.arrival.end ??= end
  }
}

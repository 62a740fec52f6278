/** A stand-in upstream: answers by its service, keeps a record of what arrived, and misbehaves on demand. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import type { Arrival, Ledger } from '../promises/ledgerTypes.js'
import { plainAnswer, POISON, sealOf, STREAM_EVENTS, streamEvent } from './servedWork.js'

/** Milliseconds of work of a plain answer, and between two events of a stream. */
const PLAIN_MS = 25
const EVENT_GAP_MS = 25

/** Requests that wait for a slot beyond those that run. */
const QUEUE = 8

/** How an upstream misbehaves. `mute`: takes requests and answers none. */
export type UpstreamFault = 'none' | 'mute' | 'full' | 'cut-answers' | 'extra-bytes'

/** Facts of an upstream. */
export interface UpstreamFacts {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly slots: number
}

/** One run at an upstream. */
interface Run {
  readonly arrival: Arrival
  readonly res: ServerResponse
  timer: Timer | undefined
}

/** A running upstream. */
export class UpstreamStandin {
  fault: UpstreamFault = 'none'
  readonly #server: Server
  readonly #runs = new Set<Run>()

  /**
   * @param clock - source of time
   * @param facts - what it is
   * @param ledger - takes what arrives
   * @param onPoison - called when it runs the request that ends it
   */
  constructor (readonly clock: Clock, readonly facts: UpstreamFacts, readonly ledger: Ledger, readonly onPoison: () => void) {
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => { this.#receive(req, res) })
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
  }

  /** Ends at once, in the middle of whatever it does. */
  crash (): void {
    for (const run of [...this.#runs]) {
      this.#end(run, 'failed')
      run.res.socket?.resetAndDestroy()
    }
    this.close()
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (req: IncomingMessage, res: ServerResponse): void {
    const parts: Buffer[] = []
    req.on('data', (part: Buffer) => { parts.push(part) })
    req.on('end', () => { this.#begin(req, res, Buffer.concat(parts).toString()) })
  }

  #begin (req: IncomingMessage, res: ServerResponse, body: string): void {
    const isMeant = req.headers[HEADER.expectedUpstream] === this.facts.id
    const isFull = this.fault === 'full' || this.#runs.size >= this.facts.slots + QUEUE
    const arrival = this.#note(req, body, isMeant && !isFull)
    if (arrival.ran) return this.#run(arrival, res)
    res.writeHead(isMeant ? 503 : 421, { [HEADER.notExecuted]: '1', [HEADER.attemptId]: arrival.attempt }).end()
  }

  #note (req: IncomingMessage, body: string, ran: boolean): Arrival {
    const textOf = (name: string): string | undefined => { const value = req.headers[name]; return typeof value === 'string' ? value : undefined }
    const resumeAfter = Number(textOf(HEADER.lastEventId) ?? 0)
    const path = req.url ?? ''
    const workMs: Millis = path.startsWith('/stream/') ? (STREAM_EVENTS - resumeAfter) * EVENT_GAP_MS : PLAIN_MS
    const { id, service, zone } = this.facts
    const arrival: Arrival = {
      attempt: textOf(HEADER.attemptId) ?? 'none',
      upstream: id,
      service,
      zone,
      at: this.clock.now(),
      path,
      body,
      workspace: textOf(HEADER.workspace),
      hasKey: req.headers.authorization !== undefined,
      resumeAfter,
      ran,
      workMs,
      endedAt: undefined,
      end: undefined
    }
    this.ledger.arrivals.push(arrival)
    return arrival
  }

  #run (arrival: Arrival, res: ServerResponse): void {
    const run: Run = { arrival, res, timer: undefined }
    this.#runs.add(run)
    res.on('close', () => { this.#end(run, 'cancelled') })
    if (arrival.body === POISON) return this.onPoison()
    if (this.fault === 'mute') {
      arrival.end = 'failed'
      return
    }
    if (arrival.path.startsWith('/stream/')) return this.#stream(run)
    run.timer = this.clock.after(PLAIN_MS, () => { this.#answer(run) })
  }

  #answer (run: Run): void {
    const { arrival, res } = run
    const body = plainAnswer(arrival.attempt, arrival.body)
    res.writeHead(200, { 'content-length': Buffer.byteLength(body), [HEADER.attemptId]: arrival.attempt, [HEADER.responseSeal]: sealOf(arrival.attempt, 200) })
    if (this.fault === 'cut-answers') return this.#cut(run, body.slice(0, 100))
    res.end(body)
    if (this.fault === 'extra-bytes') res.socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra')
    this.#end(run, 'whole')
  }

  #stream (run: Run): void {
    const { arrival, res } = run
    res.writeHead(200, { 'content-type': 'text/event-stream', [HEADER.attemptId]: arrival.attempt, [HEADER.responseSeal]: sealOf(arrival.attempt, 200) })
    res.flushHeaders()
    this.#nextEvent(run, arrival.resumeAfter + 1)
  }

  #nextEvent (run: Run, nth: number): void {
    run.timer = this.clock.after(EVENT_GAP_MS, () => {
      // A mute upstream says nothing more and goes on holding its connections.
      if (this.fault === 'mute') {
        run.arrival.end = 'failed'
        return
      }
      const event = streamEvent(run.arrival.attempt, nth)
      if (this.fault === 'cut-answers' && nth > STREAM_EVENTS / 2) return this.#cut(run, event.slice(0, 9))
      run.res.write(event)
      if (nth < STREAM_EVENTS) return this.#nextEvent(run, nth + 1)
      run.res.end()
      this.#end(run, 'whole')
    })
  }

  #cut (run: Run, part: string): void {
    run.res.write(part)
    this.#end(run, 'failed')
    // The part is to leave before the connection does.
    this.clock.after(5, () => { run.res.socket?.resetAndDestroy() })
  }

  #end (run: Run, end: NonNullable<Arrival['end']>): void {
    if (!this.#runs.delete(run)) return
    run.timer?.close()
    run.arrival.endedAt = this.clock.now()
    run.arrival.end ??= end
  }
}

/** Load of fleet W at its mean, for measurements of gateways. */
import { Agent, request } from 'node:http'
import { drawInterval, pickWeighted, type Random } from '@fuchsiaworks/bench'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import { EVENT_COUNT_HEADER } from './measuredUpstreams.js'

/** Host of the routes. */
export const MEASURED_HOST = 'measure.example'

/** A kind of request of fleet W. */
interface LoadClass {
  readonly path: string
  /** Requests per second of the whole fleet. */
  readonly perSecond: number
  readonly sharedTokens: number
  readonly ownTokens: number
  readonly events: number
  readonly deadlineMs: Millis
}

const CLASSES: readonly LoadClass[] = [
  { path: '/stream/long', perSecond: 156, sharedTokens: 5382, ownTokens: 6610, events: 55, deadlineMs: 15_000 },
  { path: '/stream/medium', perSecond: 231, sharedTokens: 198, ownTokens: 628, events: 42, deadlineMs: 12_000 },
  { path: '/stream/short', perSecond: 289, sharedTokens: 568, ownTokens: 1800, events: 3, deadlineMs: 3000 },
  { path: '/once/x', perSecond: 70, sharedTokens: 0, ownTokens: 0, events: 0, deadlineMs: 4000 },
  { path: '/safe/x', perSecond: 28, sharedTokens: 0, ownTokens: 0, events: 0, deadlineMs: 4000 }
]

/** Share of requests on a new connection. */
const NEW_CONNECTION_SHARE = 0.3

const BODY = JSON.stringify({ model: 'm1', stream: true, messages: [{ role: 'user', content: 'x'.repeat(1500) }] })

/** Documents that prompts of a class share. */
const DOCUMENTS = 40

/** How the load went. */
export interface LoadCounts {
  sent: number
  served: number
  events: number
  refused: number
  failed: number
}

/** Sends requests to gateways. */
export class MeasuredLoad {
  readonly counts: LoadCounts = { sent: 0, served: 0, events: 0, refused: 0, failed: 0 }
  readonly #agent = new Agent({ keepAlive: true })
  readonly #timers: Timer[] = []
  #isStopped = false

  /**
   * @param clock - source of time
   * @param random - seeded random numbers
   * @param ports - callers' ports of the gateways
   * @param perSecond - requests per second to each gateway
   * @param keys - API keys
   */
  constructor (readonly clock: Clock, readonly random: Random, readonly ports: readonly number[], readonly perSecond: number, readonly keys: readonly string[]) {}

  start (): void {
    for (const port of this.ports) this.#scheduleNext(port)
  }

  close (): void {
    this.#isStopped = true
    for (const timer of this.#timers) timer.close()
    this.#agent.destroy()
  }

  #scheduleNext (port: number): void {
    this.clock.after(drawInterval(this.random, 1000 / this.perSecond), () => {
      if (this.#isStopped) return
      this.#send(port)
      this.#scheduleNext(port)
    })
  }

  #send (port: number): void {
    const kind = pickWeighted<LoadClass>(this.random, CLASSES.map(one => [one, one.perSecond]))
    const nth = ++this.counts.sent
    const document = Math.floor(this.random() * DOCUMENTS)
    const prompt = kind.sharedTokens === 0
      ? {}
      : {
          [HEADER.promptParts]: `a1:${Math.round(kind.sharedTokens / 3)},d${document}${kind.events}:${Math.round(kind.sharedTokens * 2 / 3)},f${nth.toString(16)}:${kind.ownTokens}`,
          [HEADER.tokenCount]: `${kind.sharedTokens + kind.ownTokens},${kind.events * 2}`,
          [HEADER.lengthHint]: String(kind.events),
          [HEADER.model]: 'm1'
        }
    const req = request({
      host: '127.0.0.1',
      port,
      method: 'POST',
      path: kind.path,
      agent: this.random() < NEW_CONNECTION_SHARE ? false : this.#agent,
      headers: {
        host: MEASURED_HOST,
        'user-agent': 'measure/1.0',
        accept: '*/*',
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(BODY),
        authorization: `Bearer ${this.keys[nth % this.keys.length] ?? ''}`,
        [HEADER.attemptId]: `attempt-${process.pid}-${nth}`,
        [HEADER.deadlineMs]: String(kind.deadlineMs),
        [EVENT_COUNT_HEADER]: String(kind.events),
        ...prompt
      }
    }, res => {
      res.setEncoding('latin1')
      res.on('data', (text: string) => { if (kind.events > 0) this.counts.events += text.split('\nid: ').length })
      res.on('error', () => {})
      res.on('end', () => {
        if (res.statusCode === 200) this.counts.served += 1
        else this.counts.refused += 1
      })
    })
    req.on('error', () => { if (!this.#isStopped) this.counts.failed += 1 })
    req.end(BODY)
  }
}

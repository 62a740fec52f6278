/** A surge: callers that each open a connection of their own to one gateway, leave when they get no response in time, and come back once. */
import { request } from 'node:http'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import { HOST } from '../world/routes.js'

/** Time for which a caller waits for the start of a response, and for its end. */
const PATIENCE_MS = { start: 1500, end: 6000 } as const

/** Time between two checks of how many callers are due. */
const TICK_MS: Millis = 10

/** One connection of a caller. */
export interface SurgeAttempt {
  readonly attempt: string
  readonly sentAt: Millis
  /** True when the caller left before and has come back. */
  readonly isRetry: boolean
  /** `served`: a complete success; undefined while open. */
  outcome: 'served' | 'refused' | 'failed' | 'left' | undefined
  endedAt: Millis | undefined
}

/** Callers of one gateway, at a constant rate. */
export class Surge {
  readonly attempts: SurgeAttempt[] = []
  readonly #timer: Timer
  readonly #startedAt: Millis
  #started = 0

  /**
   * @param clock - source of time
   * @param port - port of the gateway
   * @param apiKey - key that the callers send
   * @param perSecond - callers that start in a second, without those that come back
   * @param name - prefix of the attempts' ids
   */
  constructor (readonly clock: Clock, readonly port: number, readonly apiKey: string, readonly perSecond: number, readonly name: string) {
    this.#startedAt = clock.now()
    this.#timer = clock.every(TICK_MS, () => { this.#startDue() })
  }

  /** Starts no more callers; those that have started go on. */
  stop (): void {
    this.#timer.close()
  }

  #startDue (): void {
    const due = (this.clock.now() - this.#startedAt) / 1000 * this.perSecond
    for (; this.#started < due; this.#started++) this.#send(false)
  }

  #send (isRetry: boolean): void {
    const record: SurgeAttempt = { attempt: `${this.name}-${this.attempts.length}`, sentAt: this.clock.now(), isRetry, outcome: undefined, endedAt: undefined }
    this.attempts.push(record)
    const end = (outcome: NonNullable<SurgeAttempt['outcome']>): void => {
      if (record.outcome !== undefined) return
      record.outcome = outcome
      record.endedAt = this.clock.now()
      startTimer.close()
      endTimer.close()
      req.destroy()
      if (outcome !== 'served' && !isRetry) this.#send(true)
    }
    const startTimer = this.clock.after(PATIENCE_MS.start, () => { end('left') })
    const endTimer = this.clock.after(PATIENCE_MS.end, () => { end('left') })
    const req = request({
      host: '127.0.0.1',
      port: this.port,
      method: 'POST',
      path: '/stream/surge',
      agent: false,
      headers: { host: HOST, authorization: `Bearer ${this.apiKey}`, [HEADER.attemptId]: record.attempt, [HEADER.deadlineMs]: String(PATIENCE_MS.end) }
    }, res => {
      startTimer.close()
      res.resume()
      res.on('error', () => { end('failed') })
      res.on('end', () => { end(res.complete && res.statusCode === 200 ? 'served' : res.statusCode === 503 ? 'refused' : 'failed') })
      res.on('close', () => { end('failed') })
    })
    req.on('error', () => { end('failed') })
    req.end(record.attempt)
  }
}

/** Long poll of a read-only service: emits each newer version once, and backs off while reads fail. */
import { type Clock, createLog, EventSource, type Millis, type Timer, toError } from '@fuchsiaworks/kernel'
import type { Stream } from 'most'
import { Agent, request } from 'undici'
import { backoffDelay } from './backoff.js'
import { ReadTimeoutError, UnexpectedStatusError } from './longPollErrors.js'
import type { PollFormat, ReadOutcome, WatchOptions, WatchStatus } from './longPollTypes.js'

/** Default time for which the service may hold a read. */
const DEFAULT_WAIT_MS = 20_000

/** Time beyond the wait after which a read is aborted. */
const READ_GRACE_MS = 5000

/**
 * Fraction of the wait that the service must hold a read that has no newer version. A response before that counts as a
 * failure, because a service that ignores the wait would otherwise be polled without any delay.
 */
const MIN_HOLD_FRACTION = 0.5

/** Delay between an update and the next read; limits the rate of reads when versions change fast. */
const DELAY_AFTER_UPDATE_MS = 50

/** Largest response body that is accepted. */
const MAX_RESPONSE_BYTES = 4_194_304

const log = createLog('platform')

/** Polls one URL until it is closed. */
export class LongPoll<T> {
  readonly #updates = new EventSource<T>()
  readonly #outcomes = new EventSource<ReadOutcome>()
  readonly #agent = new Agent({ connections: 1, maxResponseSize: MAX_RESPONSE_BYTES })
  readonly #closeController = new AbortController()
  readonly #clock: Clock
  readonly #waitMs: Millis
  #version = -1
  #reads = 0
  #failures = 0
  #lastFailure: string | undefined
  #latest: T | undefined
  #started = false

  /**
   * @param options - URL, clock and random number generator
   * @param format - how responses are parsed and their versions are read
   */
  constructor (readonly options: WatchOptions, readonly format: PollFormat<T>) {
    this.#clock = options.clock
    this.#waitMs = options.wait ?? DEFAULT_WAIT_MS
  }

  /** Emits each newly read content whose version is higher than every version received before. */
  get updates (): Stream<T> {
    return this.#updates.stream
  }

  /** Outcome of every read. */
  get outcomes (): Stream<ReadOutcome> {
    return this.#outcomes.stream
  }

  /** Content that was emitted last. */
  get latest (): T | undefined {
    return this.#latest
  }

  get status (): WatchStatus {
    return { reads: this.#reads, failures: this.#failures, lastFailure: this.#lastFailure, version: this.#version }
  }

  /**
   * Records a version that the process received from another source, such as a peer. The watch doesn't emit this
   * version or lower ones any more.
   *
   * @param version - the version that the process has
   */
  advanceVersion (version: number): void {
    this.#version = Math.max(this.#version, version)
  }

  /** Starts polling; later calls have no effect. */
  start (): void {
    if (this.#started) return
    this.#started = true
    this.#run().catch(err => { log.error('platform watch stopped by an unexpected error', { reason: toError(err).message }) })
  }

  /** Stops polling and aborts the read in progress. */
  async close (): Promise<void> {
    this.#closeController.abort()
    this.#updates.close()
    this.#outcomes.close()
    await this.#agent.destroy()
  }

  async #run (): Promise<void> {
    while (!this.#closeController.signal.aborted) {
      const outcome = await this.#read()
      if (this.#closeController.signal.aborted) return
      this.#recordOutcome(outcome)
      await this.#sleep(this.#delayAfter(outcome))
    }
  }

  async #read (): Promise<ReadOutcome> {
    this.#reads += 1
    const startedAt = this.#clock.now()
    try {
      const content = await this.#fetchWithTimeout()
      if (content !== undefined && this.#publishIfNewer(content)) return { kind: 'update', version: this.#version }
      const endedEarly = this.#clock.now() - startedAt < this.#waitMs * MIN_HOLD_FRACTION
      return endedEarly ? { kind: 'failed', reason: 'an answer without news came early' } : { kind: 'unchanged' }
    } catch (err) {
      return { kind: 'failed', reason: toError(err).message }
    }
  }

  #publishIfNewer (content: T): boolean {
    const version = this.format.versionOf(content)
    if (this.#closeController.signal.aborted || version <= this.#version) return false
    this.#version = version
    this.#latest = content
    this.#updates.emit(content)
    return true
  }

  async #fetchWithTimeout (): Promise<T | undefined> {
    const limitMs = this.#waitMs + READ_GRACE_MS
    const timeoutController = new AbortController()
    const timeoutTimer = this.#clock.after(limitMs, () => { timeoutController.abort(new ReadTimeoutError(limitMs)) })
    try {
      return await this.#request(AbortSignal.any([timeoutController.signal, this.#closeController.signal]))
    } finally {
      timeoutTimer.close()
    }
  }

  async #request (signal: AbortSignal): Promise<T | undefined> {
    const url = new URL(this.options.url)
    url.searchParams.set('after', String(this.#version))
    url.searchParams.set('wait', String(this.#waitMs))
    const { statusCode, body } = await request(url, { dispatcher: this.#agent, signal, headersTimeout: 0, bodyTimeout: 0 })
    if (statusCode === 200) return this.format.parse(await body.text())
    await body.dump()
    if (statusCode !== 204) throw new UnexpectedStatusError(statusCode)
    return undefined
  }

  #recordOutcome (outcome: ReadOutcome): void {
    if (outcome.kind === 'failed') {
      this.#failures += 1
      this.#lastFailure = outcome.reason
      if (this.#failures === 1) log.warn('platform read failed; retrying with backoff', { url: this.options.url, reason: outcome.reason })
    } else {
      if (this.#failures > 0) log.info('platform reads succeed again', { url: this.options.url, failures: this.#failures })
      this.#failures = 0
      this.#lastFailure = undefined
    }
    this.#outcomes.emit(outcome)
  }

  #delayAfter (outcome: ReadOutcome): Millis {
    if (outcome.kind === 'failed') return backoffDelay(this.#failures, this.options.random())
    return outcome.kind === 'update' ? DELAY_AFTER_UPDATE_MS : 0
  }

  async #sleep (delayMs: Millis): Promise<void> {
    if (delayMs === 0) return
    await new Promise<void>(resolve => {
      const timer: Timer = this.#clock.after(delayMs, resolve)
      this.#closeController.signal.addEventListener('abort', () => {
        timer.close()
        resolve()
      }, { once: true })
    })
  }
}

/** Long poll of a read-only service: reports each newer version once, and backs off while the service fails. */
import { type Clock, createLog, EventSource, type Millis, type Timer, toError } from '@fuchsiaworks/kernel'
import type { Stream } from 'most'
import { Agent, request } from 'undici'
import { backoffDelay } from './backoff.js'
import { SlowServiceError, UnexpectedStatusError } from './longPollErrors.js'
import type { PollFormat, ReadOutcome, WatchOptions, WatchStatus } from './longPollTypes.js'

/** Milliseconds for which the service may hold a read by default. */
const DEFAULT_WAIT_MS = 20_000

/** Milliseconds beyond the wait after which a read is given up. */
const SLACK_MS = 5000

/** Share of the wait below which an answer without news counts as a failure: the service ignores the wait. */
const EARLY_SHARE = 0.5

/** Milliseconds between an answer with news and the next read; it bounds the rate of reads. */
const NEWS_PAUSE_MS = 50

/** Bytes of the largest answer that is read. */
const MAX_ANSWER_BYTES = 4_194_304

const log = createLog('platform')

/** Reads one address again and again. */
export class LongPoll<T> {
  readonly #news = new EventSource<T>()
  readonly #outcomes = new EventSource<ReadOutcome>()
  readonly #agent = new Agent({ connections: 1, maxResponseSize: MAX_ANSWER_BYTES })
  readonly #closing = new AbortController()
  readonly #clock: Clock
  readonly #wait: Millis
  #version = -1
  #reads = 0
  #failures = 0
  #lastFailure: string | undefined
  #latest: T | undefined
  #started = false

  /**
   * @param options - address, clock and random numbers
   * @param format - how answers are read
   */
  constructor (readonly options: WatchOptions, readonly format: PollFormat<T>) {
    this.#clock = options.clock
    this.#wait = options.wait ?? DEFAULT_WAIT_MS
  }

  /** Contents from now on, each with a higher version than the one before. */
  get updates (): Stream<T> {
    return this.#news.stream
  }

  /** What each read gave. */
  get outcomes (): Stream<ReadOutcome> {
    return this.#outcomes.stream
  }

  /** Content that was reported last. */
  get latest (): T | undefined {
    return this.#latest
  }

  get status (): WatchStatus {
    return { reads: this.#reads, failures: this.#failures, lastFailure: this.#lastFailure, version: this.#version }
  }

  /**
   * Notes a version that came another way. It and lower ones are not reported any more.
   *
   * @param version - the version that the process has
   */
  advanceVersion (version: number): void {
    this.#version = Math.max(this.#version, version)
  }

  /** Begins to read. */
  start (): void {
    if (this.#started) return
    this.#started = true
    this.#run().catch(err => { log.error('the watch stopped', { reason: toError(err).message }) })
  }

  /** Ends the watch and the read in progress. */
  async close (): Promise<void> {
    this.#closing.abort()
    this.#news.close()
    this.#outcomes.close()
    await this.#agent.destroy()
  }

  async #run (): Promise<void> {
    while (!this.#closing.signal.aborted) {
      const outcome = await this.#read()
      if (this.#closing.signal.aborted) return
      this.#note(outcome)
      await this.#pause(this.#delayAfter(outcome))
    }
  }

  async #read (): Promise<ReadOutcome> {
    this.#reads += 1
    const began = this.#clock.now()
    try {
      const content = await this.#fetch()
      if (content !== undefined && this.#accept(content)) return { kind: 'news', version: this.#version }
      const early = this.#clock.now() - began < this.#wait * EARLY_SHARE
      return early ? { kind: 'failed', reason: 'an answer without news came early' } : { kind: 'nothing' }
    } catch (err) {
      return { kind: 'failed', reason: toError(err).message }
    }
  }

  #accept (content: T): boolean {
    const version = this.format.versionOf(content)
    if (this.#closing.signal.aborted || version <= this.#version) return false
    this.#version = version
    this.#latest = content
    this.#news.emit(content)
    return true
  }

  async #fetch (): Promise<T | undefined> {
    const limit = this.#wait + SLACK_MS
    const slow = new AbortController()
    const deadline = this.#clock.after(limit, () => { slow.abort(new SlowServiceError(limit)) })
    try {
      return await this.#request(AbortSignal.any([slow.signal, this.#closing.signal]))
    } finally {
      deadline.close()
    }
  }

  async #request (signal: AbortSignal): Promise<T | undefined> {
    const url = new URL(this.options.url)
    url.searchParams.set('after', String(this.#version))
    url.searchParams.set('wait', String(this.#wait))
    const { statusCode, body } = await request(url, { dispatcher: this.#agent, signal, headersTimeout: 0, bodyTimeout: 0 })
    if (statusCode === 200) return this.format.parse(await body.text())
    await body.dump()
    if (statusCode !== 204) throw new UnexpectedStatusError(statusCode)
    return undefined
  }

  #note (outcome: ReadOutcome): void {
    if (outcome.kind === 'failed') {
      this.#failures += 1
      this.#lastFailure = outcome.reason
      if (this.#failures === 1) log.warn('a read failed', { url: this.options.url, reason: outcome.reason })
    } else {
      if (this.#failures > 0) log.info('reads succeed again', { url: this.options.url, failures: this.#failures })
      this.#failures = 0
      this.#lastFailure = undefined
    }
    this.#outcomes.emit(outcome)
  }

  #delayAfter (outcome: ReadOutcome): Millis {
    if (outcome.kind === 'failed') return backoffDelay(this.#failures, this.options.random())
    return outcome.kind === 'news' ? NEWS_PAUSE_MS : 0
  }

  async #pause (delay: Millis): Promise<void> {
    if (delay === 0) return
    await new Promise<void>(resolve => {
      const timer: Timer = this.#clock.after(delay, resolve)
      this.#closing.signal.addEventListener('abort', () => {
        timer.close()
        resolve()
      }, { once: true })
    })
  }
}

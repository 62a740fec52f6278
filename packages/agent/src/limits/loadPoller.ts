/** Polls the load report of the upstream and passes it, with its age, to the limit service. */
import { createLog, type Millis, type Service, type ServiceKey, serviceKey, type Timer, toError } from '@fuchsiaworks/kernel'
import type { ProcessContext } from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import { Agent, request } from 'undici'
import * as z from 'zod'
import type { LimitService } from './limitService.js'

/** Milliseconds between two reads of the report. */
const POLL_INTERVAL_MS = 500

/** Milliseconds after which a read is aborted. */
const READ_TIMEOUT_MS = 400

/** Assumed age of a report without `ageMs`, in milliseconds; reports lag behind the load. */
const DEFAULT_REPORT_AGE_MS = 1_000

/** Largest report that is read, in bytes. */
const MAX_REPORT_BYTES = 65_536

const log = createLog('load')

const reportSchema = z.object({
  running: z.number().min(0),
  waiting: z.number().min(0).default(0),
  cold: z.boolean().optional(),
  ageMs: z.number().min(0).default(DEFAULT_REPORT_AGE_MS)
})

/** Polls the load report. Without a URL for it the limit depends on observed latency and failures alone. */
export class LoadPoller implements Service {
  readonly #agent = new Agent({ connections: 1, maxResponseSize: MAX_REPORT_BYTES })
  readonly #url: string | undefined
  #timer: Timer | undefined
  #readInProgress = false

  constructor (readonly context: ProcessContext, readonly limits: LimitService, settings: AgentSettings) {
    this.#url = settings.loadUrl
  }

  start (): void {
    const url = this.#url
    if (url === undefined) return
    this.#timer = this.context.clock.every(POLL_INTERVAL_MS, () => { this.#poll(url) })
  }

  async close (): Promise<void> {
    this.#timer?.close()
    await this.#agent.destroy()
  }

  #poll (url: string): void {
    if (this.#readInProgress) return
    this.#readInProgress = true
    this.#read(url).catch(err => {
      log.debug('failed to read the load report of the upstream', { reason: toError(err).message })
    }).finally(() => { this.#readInProgress = false })
  }

  async #read (url: string): Promise<void> {
    const requestedAt: Millis = this.context.clock.now()
    const { statusCode, body } = await request(url, { dispatcher: this.#agent, headersTimeout: READ_TIMEOUT_MS, bodyTimeout: READ_TIMEOUT_MS })
    const text = await body.text()
    if (statusCode !== 200) return
    const { running, waiting, cold, ageMs } = reportSchema.parse(JSON.parse(text))
    const now = this.context.clock.now()
    this.limits.decide({ kind: 'load-report', now, age: ageMs + now - requestedAt, running, waiting, ...(cold === undefined ? {} : { cold }) })
  }
}

/** Service key of the load poller. */
export const loadPollerKey: ServiceKey<LoadPoller> = serviceKey('load-poller')

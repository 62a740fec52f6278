/** Reads the load that the upstream reports of itself, and tells the limit with its age. */
import { createLog, type Millis, type Service, type ServiceKey, serviceKey, type Timer, toError } from '@fuchsiaworks/kernel'
import type { ProcessContext } from '@fuchsiaworks/fleet'
import type { AgentSettings } from '@fuchsiaworks/settings'
import { Agent, request } from 'undici'
import * as z from 'zod'
import type { LimitService } from './limitService.js'

/** Milliseconds between two reads. */
const PERIOD_MS = 500

/** Milliseconds after which a read is given up. */
const TIMEOUT_MS = 400

/** Age in milliseconds of a report that does not tell it; reports lag. */
const ASSUMED_AGE_MS = 1_000

/** Bytes of the largest report. */
const MAX_REPORT_BYTES = 65_536

const log = createLog('load')

const reportSchema = z.object({
  running: z.number().min(0),
  waiting: z.number().min(0).default(0),
  cold: z.boolean().optional(),
  ageMs: z.number().min(0).default(ASSUMED_AGE_MS)
})

/** Polls the report; an upstream without one is judged by what it shows alone. */
export class LoadWatch implements Service {
  readonly #agent = new Agent({ connections: 1, maxResponseSize: MAX_REPORT_BYTES })
  readonly #url: string | undefined
  #timer: Timer | undefined
  #reading = false

  constructor (readonly context: ProcessContext, readonly limits: LimitService, settings: AgentSettings) {
    this.#url = settings.loadUrl
  }

  start (): void {
    const url = this.#url
    if (url === undefined) return
    this.#timer = this.context.clock.every(PERIOD_MS, () => { this.#poll(url) })
  }

  async close (): Promise<void> {
    this.#timer?.close()
    await this.#agent.destroy()
  }

  #poll (url: string): void {
    if (this.#reading) return
    this.#reading = true
    this.#read(url).catch(err => {
      log.debug('the load report could not be read', { reason: toError(err).message })
    }).finally(() => { this.#reading = false })
  }

  async #read (url: string): Promise<void> {
    const asked: Millis = this.context.clock.now()
    const { statusCode, body } = await request(url, { dispatcher: this.#agent, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
    const text = await body.text()
    if (statusCode !== 200) return
    const { running, waiting, cold, ageMs } = reportSchema.parse(JSON.parse(text))
    const now = this.context.clock.now()
    this.limits.decide({ kind: 'load-report', now, age: ageMs + now - asked, running, waiting, ...(cold === undefined ? {} : { cold }) })
  }
}

/** Key of the load watch. */
export const loadWatchKey: ServiceKey<LoadWatch> = serviceKey('load-watch')

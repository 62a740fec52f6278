/** Stand-in for the platform's read-and-watch configuration service. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Standin } from '../control/standinTypes.js'
import { requestUrl, sendJson, sleep } from '../server/httpHelpers.js'
import { SwitchedServer } from '../server/switchedServer.js'
import { LongPoll } from './longPoll.js'

/** Texts of one published revision. */
export interface Documents {
  readonly base: string
  readonly overlays: Readonly<Record<string, string>>
}

/** A revision with its texts. */
export interface PublishedDocuments extends Documents {
  readonly revision: number
}

/** What can be changed on the configuration service while it runs. */
export interface ConfigurationKnobs {
  /** Refuses connections. */
  down: boolean
  /** Revision that is served in place of the newest; 0 for the newest. */
  staleRevision: number
  /** Extra milliseconds before each answer. */
  slow: number
  /** Calls a second that are answered; a waiting watch is one call. */
  rate: number
}

/** Where the service listens and what it serves at first. */
export interface ConfigurationOptions {
  readonly port?: number
  readonly documents?: Documents
  readonly knobs?: Partial<ConfigurationKnobs>
}

/** A running configuration service. */
export interface ConfigurationStandin extends Standin<ConfigurationKnobs> {
  /** Publishes the next revision and returns its number. */
  readonly publish: (documents: Documents) => number
}

/** Calls a second across all readers that the platform answers. */
export const PLATFORM_RATE = 2000

/** Longest wait of a watch in milliseconds. */
const WAIT_LIMIT_MS = 60_000

/** Milliseconds in the window over which calls are counted. */
const RATE_WINDOW_MS = 1000

class Configuration {
  readonly watches = new LongPoll()
  readonly revisions: PublishedDocuments[] = []
  knobs: ConfigurationKnobs = { down: false, staleRevision: 0, slow: 0, rate: PLATFORM_RATE }
  calls = 0
  refused = 0
  busiestSecond = 0
  server: SwitchedServer | undefined
  #window = { start: 0, calls: 0 }

  publish (documents: Documents): number {
    const revision = (this.revisions.at(-1)?.revision ?? 0) + 1
    this.revisions.push({ revision, base: documents.base, overlays: documents.overlays })
    this.watches.wake()
    return revision
  }

  current (): PublishedDocuments | undefined {
    const { staleRevision } = this.knobs
    return staleRevision === 0 ? this.revisions.at(-1) : this.revisions.find(entry => entry.revision === staleRevision)
  }

  async answer (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = requestUrl(req)
    if (url.pathname !== '/v1/configuration') return sendJson(res, 404, { error: 'unknown path' })
    if (!this.#count()) return sendJson(res, 429, { error: 'too many calls' })
    await sleep(this.knobs.slow)
    const after = Number(url.searchParams.get('after') ?? 0)
    const wait = Math.min(WAIT_LIMIT_MS, Number(url.searchParams.get('wait') ?? 0))
    await this.watches.until(() => res.destroyed || (this.current()?.revision ?? 0) > after, wait)
    const found = this.current()
    if (found === undefined || found.revision <= after) return this.#sendNothing(res)
    sendJson(res, 200, found)
  }

  set (knobs: Partial<ConfigurationKnobs>): void {
    this.knobs = { ...this.knobs, ...knobs }
    if (this.knobs.down) this.server?.shut()
    else this.server?.listen().catch(() => {})
    this.watches.wake()
  }

  #sendNothing (res: ServerResponse): void {
    res.writeHead(204)
    res.end()
  }

  #count (): boolean {
    const now = performance.now()
    if (now - this.#window.start >= RATE_WINDOW_MS) this.#window = { start: now, calls: 0 }
    this.#window.calls += 1
    this.calls += 1
    this.busiestSecond = Math.max(this.busiestSecond, this.#window.calls)
    if (this.#window.calls <= this.knobs.rate) return true
    this.refused += 1
    return false
  }
}

/**
 * Starts a configuration service: `GET /v1/configuration?after=REVISION&wait=MS` answers the newer revision or 204.
 *
 * @param options - port, first documents and knobs
 * @returns the running service; its order `publish` takes `{ base, overlays }`
 */
export const startConfiguration = async (options: ConfigurationOptions = {}): Promise<ConfigurationStandin> => {
  const service = new Configuration()
  if (options.documents !== undefined) service.publish(options.documents)
  const server = await SwitchedServer.open((req, res) => {
    service.answer(req, res).catch(() => { res.destroy() })
  }, options.port ?? 0)
  service.server = server
  service.set(options.knobs ?? {})
  const publish = (documents: Documents): number => service.publish(documents)
  return {
    url: server.url,
    knobs: () => service.knobs,
    set: knobs => { service.set(knobs) },
    facts: () => ({
      revision: service.revisions.at(-1)?.revision ?? 0,
      calls: service.calls,
      refused: service.refused,
      busiestSecond: service.busiestSecond,
      watching: service.watches.size
    }),
    orders: { publish: value => { publish(value as Documents) } },
    publish,
    close: async () => {
      service.watches.wake()
      await server.close()
    }
  }
}

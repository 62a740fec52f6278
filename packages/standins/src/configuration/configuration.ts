/** Stand-in for the platform's configuration service, which clients poll for new revisions by long poll. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Standin } from '../control/standinTypes.js'
import { requestUrl, sendJson, sleep } from '../server/httpHelpers.js'
import { SwitchableServer } from '../server/switchableServer.js'
import { LongPoll } from './longPoll.js'

/** Base document and overlays (by site) of one revision, as text. */
export interface ConfigurationDocuments {
  readonly base: string
  readonly overlays: Readonly<Record<string, string>>
}

/** A published revision with its documents. */
export interface PublishedDocuments extends ConfigurationDocuments {
  readonly revision: number
}

/** What can be changed on the configuration service while it runs. */
export interface ConfigurationKnobs {
  /** Refuses connections. */
  down: boolean
  /** Revision served instead of the newest; 0 for the newest. */
  staleRevision: number
  /** Additional time before each response. */
  slow: number
  /** Rate limit; calls above it get status 429. A long poll counts as one call. */
  rate: number
}

/** Port, first revision and initial knobs of the service. */
export interface ConfigurationOptions {
  readonly port?: number
  readonly documents?: ConfigurationDocuments
  readonly knobs?: Partial<ConfigurationKnobs>
}

/** A running configuration service. */
export interface ConfigurationStandin extends Standin<ConfigurationKnobs> {
  /** Publishes the next revision; returns its number. */
  readonly publish: (documents: ConfigurationDocuments) => number
}

/** Rate limit of the platform for all clients together. */
export const PLATFORM_CALLS_PER_SECOND = 2000

/** Longest wait of a long poll. */
const MAX_WAIT_MS = 60_000

/** Window over which calls are counted for the rate limit. */
const RATE_WINDOW_MS = 1000

class ConfigurationService {
  readonly watches = new LongPoll()
  readonly revisions: PublishedDocuments[] = []
  knobs: ConfigurationKnobs = { down: false, staleRevision: 0, slow: 0, rate: PLATFORM_CALLS_PER_SECOND }
  calls = 0
  refused = 0
  peakCallsPerSecond = 0
  server: SwitchableServer | undefined
  #rateWindow = { start: 0, calls: 0 }

  publish (documents: ConfigurationDocuments): number {
    const revision = (this.revisions.at(-1)?.revision ?? 0) + 1
    this.revisions.push({ revision, base: documents.base, overlays: documents.overlays })
    this.watches.wakeAll()
    return revision
  }

  servedRevision (): PublishedDocuments | undefined {
    const { staleRevision } = this.knobs
    return staleRevision === 0 ? this.revisions.at(-1) : this.revisions.find(entry => entry.revision === staleRevision)
  }

  async handleRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = requestUrl(req)
    if (url.pathname !== '/v1/configuration') return sendJson(res, 404, { error: 'unknown path' })
    if (!this.#admitCall()) return sendJson(res, 429, { error: 'too many calls' })
    await sleep(this.knobs.slow)
    const after = Number(url.searchParams.get('after') ?? 0)
    const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get('wait') ?? 0))
    await this.watches.waitUntil(() => res.destroyed || (this.servedRevision()?.revision ?? 0) > after, waitMs)
    const found = this.servedRevision()
    if (found === undefined || found.revision <= after) return this.#sendNoContent(res)
    sendJson(res, 200, found)
  }

  updateKnobs (knobs: Partial<ConfigurationKnobs>): void {
    this.knobs = { ...this.knobs, ...knobs }
    if (this.knobs.down) this.server?.takeOffline()
    else this.server?.listen().catch(() => {})
    this.watches.wakeAll()
  }

  #sendNoContent (res: ServerResponse): void {
    res.writeHead(204)
    res.end()
  }

  #admitCall (): boolean {
    const now = performance.now()
    if (now - this.#rateWindow.start >= RATE_WINDOW_MS) this.#rateWindow = { start: now, calls: 0 }
    this.#rateWindow.calls += 1
    this.calls += 1
    this.peakCallsPerSecond = Math.max(this.peakCallsPerSecond, this.#rateWindow.calls)
    if (this.#rateWindow.calls <= this.knobs.rate) return true
    this.refused += 1
    return false
  }
}

/**
 * Starts a configuration service: `GET /v1/configuration?after=REVISION&wait=MS` returns a newer revision, or 204
 * when there is none within the wait.
 *
 * @param options - port, first revision and initial knobs
 * @returns the running service; its command `publish` takes `{ base, overlays }`
 */
export const startConfiguration = async (options: ConfigurationOptions = {}): Promise<ConfigurationStandin> => {
  const service = new ConfigurationService()
  if (options.documents !== undefined) service.publish(options.documents)
  const server = await SwitchableServer.open((req, res) => {
    service.handleRequest(req, res).catch(() => { res.destroy() })
  }, options.port ?? 0)
  service.server = server
  service.updateKnobs(options.knobs ?? {})
  const publish = (documents: ConfigurationDocuments): number => service.publish(documents)
  return {
    url: server.url,
    knobs: () => service.knobs,
    updateKnobs: knobs => { service.updateKnobs(knobs) },
    facts: () => ({
      revision: service.revisions.at(-1)?.revision ?? 0,
      calls: service.calls,
      refused: service.refused,
      peakCallsPerSecond: service.peakCallsPerSecond,
      watching: service.watches.size
    }),
    commands: { publish: value => { publish(value as ConfigurationDocuments) } },
    publish,
    close: async () => {
      service.watches.wakeAll()
      await server.close()
    }
  }
}

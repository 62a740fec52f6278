/** Stand-in for the platform's host list, which shows changes with a delay. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LongPoll } from '../configuration/longPoll.js'
import type { Standin } from '../control/standinTypes.js'
import { requestUrl, sendJson } from '../server/httpHelpers.js'
import { SwitchableServer } from '../server/switchableServer.js'

/** One entry of the list. */
export interface ListedHost {
  readonly host: string
  readonly zone: string
  readonly role: 'router' | 'upstream'
  readonly address: string
  readonly linkPort: number
  readonly state: 'live' | 'leaving'
}

/** What can be changed on the host list while it runs. */
export interface HostsKnobs {
  /** Time from a publication until clients see it. */
  lag: number
  /** Refuses connections. */
  down: boolean
}

/** Port, initial list and initial knobs. */
export interface HostsOptions {
  readonly port?: number
  readonly hosts?: readonly ListedHost[]
  readonly knobs?: Partial<HostsKnobs>
}

/** A running host list service. */
export interface HostsStandin extends Standin<HostsKnobs> {
  /** Replaces the list; clients see it after the lag. */
  readonly publish: (hosts: readonly ListedHost[]) => void
}

/** Longest wait of a long poll. */
const MAX_WAIT_MS = 60_000

/**
 * Starts a host list service: `GET /v1/hosts?after=VERSION&wait=MS` returns a newer list, or 204 when
 * there is none within the wait.
 *
 * @param options - port, initial list and initial knobs
 * @returns the running service; its command `publish` takes the new list
 */
export const startHosts = async (options: HostsOptions = {}): Promise<HostsStandin> => {
  const watches = new LongPoll()
  const timers = new Set<NodeJS.Timeout>()
  let knobs: HostsKnobs = { lag: 0, down: false, ...options.knobs }
  let visibleList = { version: 1, hosts: options.hosts ?? [] }
  let calls = 0

  const makeVisible = (hosts: readonly ListedHost[]): void => {
    visibleList = { version: visibleList.version + 1, hosts }
    watches.wakeAll()
  }
  const publish = (hosts: readonly ListedHost[]): void => {
    const timer = setTimeout(() => {
      timers.delete(timer)
      makeVisible(hosts)
    }, knobs.lag)
    timers.add(timer)
  }
  const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const url = requestUrl(req)
    if (url.pathname !== '/v1/hosts') return sendJson(res, 404, { error: 'unknown path' })
    calls += 1
    const after = Number(url.searchParams.get('after') ?? 0)
    const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get('wait') ?? 0))
    await watches.waitUntil(() => res.destroyed || visibleList.version > after, waitMs)
    if (visibleList.version > after) return sendJson(res, 200, visibleList)
    res.writeHead(204)
    res.end()
  }
  const server = await SwitchableServer.open((req, res) => {
    handleRequest(req, res).catch(() => { res.destroy() })
  }, options.port ?? 0)
  const updateKnobs = (changed: Partial<HostsKnobs>): void => {
    knobs = { ...knobs, ...changed }
    if (knobs.down) server.takeOffline()
    else server.listen().catch(() => {})
  }
  return {
    url: server.url,
    knobs: () => knobs,
    updateKnobs,
    facts: () => ({ ...visibleList, calls, watching: watches.size }),
    commands: { publish: value => { publish(value as ListedHost[]) } },
    publish,
    close: async () => {
      for (const timer of timers) clearTimeout(timer)
      watches.wakeAll()
      await server.close()
    }
  }
}

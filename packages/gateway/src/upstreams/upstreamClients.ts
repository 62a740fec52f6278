/** One client for each upstream that is or was listed. */
import type { UpstreamId } from '@fuchsiaworks/kernel'
import { UpstreamClient } from '@fuchsiaworks/upstreams'
import type { GatewayUpstream } from '../routing/routingTypes.js'

/** Milliseconds to connect: many round trips between zones, and little against any target. */
const CONNECT_TIMEOUT_MS = 400

/** Milliseconds for which an idle connection is kept when the upstream does not say. */
const KEEP_ALIVE_MS = 4000

/** Milliseconds by which an idle connection is given up before the upstream closes it. */
const KEEP_ALIVE_MARGIN_MS = 400

/** Clients by upstream. */
export class UpstreamClients {
  readonly #clients = new Map<UpstreamId, UpstreamClient>()

  /** @returns the client of an upstream */
  get (upstream: GatewayUpstream): UpstreamClient {
    const known = this.#clients.get(upstream.id)
    if (known !== undefined) return known
    const client = new UpstreamClient(`http://${upstream.address}`, {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
      keepAliveMarginMs: KEEP_ALIVE_MARGIN_MS,
      freshConnectionForNonIdempotent: false
    })
    this.#clients.set(upstream.id, client)
    return client
  }

  /** Lets go of clients whose upstream is no longer listed; what they still run goes on to its end. */
  keepOnly (listed: ReadonlySet<UpstreamId>): void {
    for (const [id, client] of this.#clients) {
      if (listed.has(id)) continue
      this.#clients.delete(id)
      client.retire()
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#clients.values()].map(async client => { await client.close() }))
  }
}

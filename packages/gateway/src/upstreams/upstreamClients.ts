/** HTTP clients of the registered upstreams, one for each. */
import type { UpstreamId } from '@fuchsiaworks/kernel'
import { type UnsolicitedBytes, UpstreamClient } from '@fuchsiaworks/upstreams'
import type { GatewayUpstream } from '../routing/routingTypes.js'

/** Long enough for many round trips between zones, and short compared to any latency target. */
const CONNECT_TIMEOUT_MS = 400

/** Idle timeout of a connection when the upstream does not state one. */
const DEFAULT_KEEP_ALIVE_MS = 4000

/** Idle connections are closed this long before the upstream would close them. */
const KEEP_ALIVE_MARGIN_MS = 400

/** Clients by upstream, created on first use. */
export class UpstreamClients {
  readonly #clients = new Map<UpstreamId, UpstreamClient>()

  /** @param onUnsolicitedBytes - called for bytes of an upstream that belong to no response */
  constructor (readonly onUnsolicitedBytes: (upstream: UpstreamId, unsolicited: UnsolicitedBytes) => void = () => {}) {}

  get (upstream: GatewayUpstream): UpstreamClient {
    const url = `http://${upstream.address}`
    const known = this.#clients.get(upstream.id)
    if (known?.url === url) return known
    // The upstream has started again at another address.
    known?.retire()
    const client = new UpstreamClient(url, {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMarginMs: KEEP_ALIVE_MARGIN_MS,
      freshConnectionForNonIdempotent: false,
      onUnsolicitedBytes: unsolicited => { this.onUnsolicitedBytes(upstream.id, unsolicited) }
    })
    this.#clients.set(upstream.id, client)
    return client
  }

  /** Retires the clients of upstreams that are no longer listed; their open exchanges continue to the end. */
  retainUpstreams (listed: ReadonlySet<UpstreamId>): void {
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

/** The routes of recent configurations, which tell where a stream may have begun that is still open. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import { findGatewayRoute, targetServices } from './findRoute.js'
import type { RoutingTable } from './routingTypes.js'

type Routes = Pick<RoutingTable, 'routes'>

/** Routes of one configuration that has been replaced. */
interface ReplacedRoutes {
  readonly table: Routes
  /** Monotonic milliseconds. */
  readonly replacedAt: Millis
}

/** Routes of the configuration in force, and of those that it has replaced recently. */
export class RecentRoutes {
  #current: Routes | undefined
  #replaced: ReplacedRoutes[] = []

  /** Applies a configuration. */
  apply (table: Routes, now: Millis): void {
    if (this.#current?.routes === table.routes) return
    if (this.#current !== undefined) this.#replaced.push({ table: this.#current, replacedAt: now })
    this.#current = table
  }

  /** Forgets the configurations that were replaced longer ago than the retention. */
  expire (now: Millis, retentionMs: Millis): void {
    this.#replaced = this.#replaced.filter(({ replacedAt }) => now - replacedAt <= retentionMs)
  }

  /**
   * Returns the services to which requests for a path are or have been routed.
   *
   * @param host - host name in lower case, without a port
   * @param path - path of the request
   */
  originsOf (host: string, path: string): ServiceId[] {
    const tables = [...this.#current === undefined ? [] : [this.#current], ...this.#replaced.map(({ table }) => table)]
    return [...new Set(tables.flatMap(table => targetServices(findGatewayRoute(table, host, path))))]
  }
}

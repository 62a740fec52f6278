/** Connections that this process keeps to other processes, one for each address. */
import { createLog, type HostId, onEvent } from '@fuchsiaworks/kernel'
import { dialSessions, type LinkOptions, type SessionDialer } from '@fuchsiaworks/wire'
import type { FleetLink } from './fleetLink.js'
import type { LinkHub } from './linkHub.js'

/** Where a process accepts links. */
export interface LinkAddress {
  readonly host: string
  readonly port: number
}

const log = createLog('links')

const keyOf = ({ host, port }: LinkAddress): string => `${host}:${port}`

/** Dialers by address. */
export class DialTable {
  readonly #dialers = new Map<string, SessionDialer>()
  readonly #byHost = new Map<HostId, string>()
  readonly #parked = new Map<HostId, LinkAddress>()
  readonly #seeds = new Set<string>()

  /**
   * @param hub - takes the sessions
   * @param options - identity, key and timing of the links
   */
  constructor (readonly hub: LinkHub, readonly options: LinkOptions) {
    onEvent(hub.closed, log, ({ link }) => { this.#resume(link) })
  }

  /**
   * Dials an address from the settings, whatever host answers there.
   *
   * @param address - where to dial
   */
  dialSeed (address: LinkAddress): void {
    this.#seeds.add(keyOf(address))
    this.#open(address)
  }

  /**
   * Dials a host at its address; a host that moved is dialled anew.
   *
   * @param host - the peer
   * @param address - where it accepts links
   */
  dialHost (host: HostId, address: LinkAddress): void {
    const known = this.#byHost.get(host)
    if (known !== undefined && known !== keyOf(address)) this.hangUp(host)
    this.#byHost.set(host, keyOf(address))
    this.#open(address)
  }

  /**
   * Ends the dialling of a host. An address from the settings goes on.
   *
   * @param host - the peer
   */
  hangUp (host: HostId): void {
    const key = this.#byHost.get(host)
    if (key === undefined) return
    this.#byHost.delete(host)
    this.#parked.delete(host)
    if (this.#seeds.has(key) || [...this.#byHost.values()].includes(key)) return
    this.#dialers.get(key)?.close()
    this.#dialers.delete(key)
  }

  close (): void {
    for (const dialer of this.#dialers.values()) dialer.close()
    this.#dialers.clear()
  }

  #open (address: LinkAddress): void {
    const key = keyOf(address)
    if (this.#dialers.has(key)) return
    const dialer = dialSessions({ ...this.options, ...address })
    this.#dialers.set(key, dialer)
    onEvent(dialer.sessions, log, session => {
      if (!this.hub.addSession(session, true)) this.#park(key, address, session.peer.host)
    })
  }

  /** Stops dialling a peer that this process is linked with over a session of the peer's own. */
  #park (key: string, address: LinkAddress, peer: HostId): void {
    this.#dialers.get(key)?.close()
    this.#dialers.delete(key)
    this.#parked.set(peer, address)
  }

  #resume ({ peer }: FleetLink): void {
    const address = this.#parked.get(peer.host)
    if (address === undefined) return
    this.#parked.delete(peer.host)
    this.#open(address)
  }
}

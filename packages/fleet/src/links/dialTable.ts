/** Outbound connections of a process, one dialer for each address. */
import { createLog, type HostId, onEvent } from '@fuchsiaworks/kernel'
import { dialSessions, type LinkOptions, type SessionDialer } from '@fuchsiaworks/wire'
import type { FleetLink } from './fleetLink.js'
import type { LinkHub } from './linkHub.js'

/** Address at which a process accepts links. */
export interface LinkAddress {
  readonly host: string
  readonly port: number
}

const log = createLog('links')

const keyOf = ({ host, port }: LinkAddress): string => `${host}:${port}`

/** Keeps the dialers of this process and suspends those that an inbound session makes redundant. */
export class DialTable {
  readonly #dialers = new Map<string, SessionDialer>()
  readonly #byHost = new Map<HostId, string>()
  readonly #parked = new Map<HostId, LinkAddress>()
  readonly #seeds = new Set<string>()

  /**
   * @param hub - registry to which new sessions are added
   * @param options - identity, key and timing of the links
   */
  constructor (readonly hub: LinkHub, readonly options: LinkOptions) {
    onEvent(hub.closed, log, ({ link }) => { this.#resume(link) })
  }

  /**
   * Dials a seed address from the settings, without knowing which host listens there.
   *
   * @param address - the address to dial
   */
  dialSeed (address: LinkAddress): void {
    this.#seeds.add(keyOf(address))
    this.#open(address)
  }

  /**
   * Dials a host, and drops the dialer of its previous address when the address has changed.
   *
   * @param host - the peer
   * @param address - address at which the peer accepts links
   */
  dialHost (host: HostId, address: LinkAddress): void {
    const known = this.#byHost.get(host)
    if (known !== undefined && known !== keyOf(address)) this.hangUp(host)
    this.#byHost.set(host, keyOf(address))
    this.#open(address)
  }

  /**
   * Stops dialling a host, unless its address is a seed or is in use for another host.
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
      if (!this.hub.adopt(session, true)) this.#park(key, address, session.peer.host)
    })
  }

  /** Suspends dialling a peer that is linked over a session it has opened itself, until that link closes. */
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

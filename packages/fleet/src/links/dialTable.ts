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

const addressKey = ({ host, port }: LinkAddress): string => `${host}:${port}`

/** Keeps the dialers of this process and suspends those that an inbound session makes redundant. */
export class DialTable {
  readonly #dialers = new Map<string, SessionDialer>()
  readonly #addressKeyByHost = new Map<HostId, string>()
  readonly #suspended = new Map<HostId, LinkAddress>()
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
    this.#seeds.add(addressKey(address))
    this.#startDialer(address)
  }

  /**
   * Dials a host, and drops the dialer of its previous address when the address has changed.
   *
   * @param host - the peer
   * @param address - address at which the peer accepts links
   */
  dialHost (host: HostId, address: LinkAddress): void {
    const previousKey = this.#addressKeyByHost.get(host)
    if (previousKey !== undefined && previousKey !== addressKey(address)) this.stopDialling(host)
    this.#addressKeyByHost.set(host, addressKey(address))
    this.#startDialer(address)
  }

  /**
   * Stops dialling a host, unless its address is a seed or is in use for another host.
   *
   * @param host - the peer
   */
  stopDialling (host: HostId): void {
    const key = this.#addressKeyByHost.get(host)
    if (key === undefined) return
    this.#addressKeyByHost.delete(host)
    this.#suspended.delete(host)
    if (this.#seeds.has(key) || [...this.#addressKeyByHost.values()].includes(key)) return
    this.#dialers.get(key)?.close()
    this.#dialers.delete(key)
  }

  close (): void {
    for (const dialer of this.#dialers.values()) dialer.close()
    this.#dialers.clear()
  }

  #startDialer (address: LinkAddress): void {
    const key = addressKey(address)
    if (this.#dialers.has(key)) return
    const dialer = dialSessions({ ...this.options, ...address })
    this.#dialers.set(key, dialer)
    onEvent(dialer.sessions, log, session => {
      if (!this.hub.addSession(session, true)) this.#suspend(key, address, session.peer.host)
    })
  }

  /** Suspends dialling a peer that is linked over a session it has opened itself, until that link closes. */
  #suspend (key: string, address: LinkAddress, peer: HostId): void {
    this.#dialers.get(key)?.close()
    this.#dialers.delete(key)
    this.#suspended.set(peer, address)
  }

  #resume ({ peer }: FleetLink): void {
    const address = this.#suspended.get(peer.host)
    if (address === undefined) return
    this.#suspended.delete(peer.host)
    this.#startDialer(address)
  }
}

/** The gateways that a stream recorder knows, and when to dial them. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { ConnectionEnd, GatewayConnection } from './gatewayConnection.js'

/** Gateways that are known at the same time; further addresses are ignored. */
const MAX_GATEWAYS = 512

/** Time after which a gateway that is gone is forgotten. */
const FORGET_MS: Millis = 60_000

/** Pause before a gateway is dialled again, and what is added for each gateway that is not connected: each attempt takes time of processor. */
const REDIAL_MS: Millis = 300
const REDIAL_PER_GATEWAY_MS: Millis = 4

/** Pause after a gateway has rejected the connection, or does not know recorders. */
const REJECTED_MS: Millis = 10_000
const UNSUPPORTED_MS: Millis = 30_000

/** A gateway. */
export interface KnownGateway {
  readonly address: string
  readonly isSeed: boolean
  /** Undefined while there is none. */
  connection: GatewayConnection | undefined
  /** True once the gateway has sent a message on its connection. */
  isConnected: boolean
  /** Time at which it was connected or another gateway named it. */
  seenAt: Millis
  /** Time from which it may be dialled. */
  dialAt: Millis
  /** Engine upstreams that it lists; undefined while it has not told. */
  upstreams: number | undefined
}

/** Known gateways by address. */
export class KnownGateways {
  readonly #gateways = new Map<string, KnownGateway>()
  #lastAsked = ''

  /**
   * @param seeds - addresses that are always kept
   * @param now - monotonic milliseconds
   */
  constructor (seeds: readonly string[], now: Millis) {
    for (const address of seeds) this.#add(address, true, now)
  }

  get all (): KnownGateway[] {
    return [...this.#gateways.values()]
  }

  /** Records that a gateway named these addresses. */
  see (addresses: readonly string[], now: Millis): void {
    for (const address of addresses) {
      const known = this.#gateways.get(address)
      if (known !== undefined) known.seenAt = now
      else if (this.#gateways.size < MAX_GATEWAYS) this.#add(address, false, now)
    }
  }

  /** Forgets gateways that are gone. */
  expire (now: Millis): void {
    for (const { address, isSeed, connection, isConnected, seenAt } of this.#gateways.values()) {
      if (isSeed || isConnected || now - seenAt <= FORGET_MS) continue
      this.#gateways.delete(address)
      connection?.close()
    }
  }

  /** @returns gateways that are to be dialled */
  due (now: Millis): KnownGateway[] {
    return this.all.filter(({ connection, dialAt }) => connection === undefined && now >= dialAt)
  }

  /** Returns the next gateway in turn that may be dialled. */
  nextDue (now: Millis): KnownGateway | undefined {
    const due = this.due(now).sort((a, b) => a.address < b.address ? -1 : 1)
    const next = due.find(({ address }) => address > this.#lastAsked) ?? due[0]
    this.#lastAsked = next?.address ?? ''
    return next
  }

  /** Records the end of a connection. */
  recordEnd (gateway: KnownGateway, end: ConnectionEnd, now: Millis): void {
    if (gateway.isConnected) gateway.seenAt = now
    gateway.connection = undefined
    gateway.isConnected = false
    gateway.upstreams = undefined
    gateway.dialAt = now + this.#redialMs(end)
  }

  #add (address: string, isSeed: boolean, now: Millis): void {
    this.#gateways.set(address, { address, isSeed, connection: undefined, isConnected: false, seenAt: now, dialAt: now, upstreams: undefined })
  }

  #redialMs (end: ConnectionEnd): Millis {
    switch (end) {
      case 'lost': return REDIAL_MS + REDIAL_PER_GATEWAY_MS * this.all.filter(({ isConnected }) => !isConnected).length
      case 'rejected': return REJECTED_MS
      case 'unsupported': return UNSUPPORTED_MS
      default: return assertNever(end)
    }
  }
}

/** An open load of requests of all kinds, and probes that ask which configuration is in force. */
import { drawInterval, pickWeighted, type Random } from '@fuchsiaworks/bench'
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import type { Ledger, RequestKind, SentRequest } from '../promises/ledgerTypes.js'
import type { Fleet } from '../world/fleet.js'
import type { Operator } from '../world/operator.js'
import { TIMEOUTS } from '../world/routes.js'
import { POISON } from '../world/servedWork.js'
import { Caller } from './caller.js'

/** Requests a second for each gateway. */
const REQUESTS_PER_SECOND = 24

/** Share of requests on a connection of their own, and of callers that leave early. */
const NEW_CONNECTION_SHARE = 0.15
const LEAVING_SHARE = 0.08

/** Longest milliseconds that an impatient caller stays. */
const LEAVE_WITHIN_MS: Millis = 300

/** Share of requests that are sent with a key that was taken away. */
const TAKEN_KEY_SHARE = 0.1

/** Milliseconds between two tries of the request that ends its upstreams, at gateways by turns, and its path. */
const POISON_PERIOD_MS: Millis = 900
const POISON_PATH = '/once/poison'

/** Milliseconds between two probes of a gateway. */
const PROBE_PERIOD_MS: Millis = 150

/** The load. */
export class Load {
  readonly #callers: readonly Caller[]
  readonly #timers: Timer[] = []
  #next: Timer | undefined
  #count = 0

  /**
   * @param clock - source of time
   * @param random - seeded
   * @param fleet - the gateways
   * @param operator - knows keys and revisions
   * @param ledger - takes the requests
   */
  constructor (readonly clock: Clock, readonly random: Random, readonly fleet: Fleet, readonly operator: Operator, readonly ledger: Ledger) {
    this.#callers = fleet.gateways.map(({ ports }) => new Caller(clock, ports.callers))
  }

  start (): void {
    this.#schedule()
    this.#timers.push(this.clock.every(POISON_PERIOD_MS, () => { this.#sendPoison() }))
    for (const { index } of this.fleet.gateways) this.#timers.push(this.clock.every(PROBE_PERIOD_MS, () => { this.#probe(index) }))
  }

  /** Sends the request that ends its upstreams, as one caller that always comes back. */
  #sendPoison (): void {
    const inService = this.fleet.balancer.inService()
    const gateway = inService[this.#count % Math.max(1, inService.length)]
    const holder = this.operator.firstKey()
    if (gateway === undefined || holder === undefined) return
    this.#callers[gateway]?.send(this.#note(gateway, 'once', POISON_PATH, undefined, holder, POISON), true, undefined)
  }

  /** Sends no more; open requests go on. */
  stop (): void {
    this.#next?.close()
    for (const timer of this.#timers) timer.close()
  }

  close (): void {
    this.stop()
    for (const caller of this.#callers) caller.close()
  }

  #schedule (): void {
    const meanMs = 1000 / (REQUESTS_PER_SECOND * this.fleet.gateways.length)
    this.#next = this.clock.after(drawInterval(this.random, meanMs), () => {
      this.#sendOne()
      this.#schedule()
    })
  }

  #sendOne (): void {
    const inService = this.fleet.balancer.inService()
    const gateway = inService[Math.floor(this.random() * inService.length)]
    if (gateway === undefined) return
    const kind = pickWeighted<RequestKind>(this.random, [['safe', 3], ['once', 3], ['stream', 4]])
    const holder = this.operator.drawKey(this.random, this.random() < TAKEN_KEY_SHARE)
    const sent = this.#note(gateway, kind, `/${kind}/x?n=${this.#count}`, undefined, holder)
    const leaveAfterMs = this.random() < LEAVING_SHARE ? this.random() * LEAVE_WITHIN_MS : undefined
    this.#callers[gateway]?.send(sent, this.random() < NEW_CONNECTION_SHARE, leaveAfterMs)
  }

  #probe (gateway: number): void {
    const { revision } = this.operator
    const sent = this.#note(gateway, 'probe', `/probe-${revision}/x`, revision, undefined)
    this.#callers[gateway]?.send(sent, false, undefined)
  }

  #note (gateway: number, kind: RequestKind, path: string, revision: number | undefined, holder: { key: string, workspace: string } | undefined, body = `body ${this.#count}`): SentRequest {
    this.#count += 1
    const sent: SentRequest = {
      gateway,
      life: this.fleet.gateways[gateway]?.life ?? 0,
      attempt: `a${this.#count}`,
      kind,
      path,
      body,
      key: holder?.key,
      workspace: holder?.workspace,
      sentAt: this.clock.now(),
      timeoutMs: TIMEOUTS[kind],
      revision,
      end: undefined
    }
    this.ledger.requests.push(sent)
    return sent
  }
}

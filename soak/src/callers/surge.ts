/** A surge: callers of one gateway that each open a connection of their own, leave when the response does not start in time, and come back once. */
import type { Clock, Millis, Timer } from '@fuchsiaworks/kernel'
import type { Observations, SentRequest } from '../invariants/observationTypes.js'
import type { Fleet } from '../world/fleet.js'
import { ROUTE_TIMEOUTS_MS } from '../world/routes.js'
import { Caller } from './caller.js'

/** Time for which a caller waits for the start of a response. */
const PATIENCE_MS: Millis = 1500

/** Time between two checks of how many callers are due. */
const TICK_MS: Millis = 10

/** What a surge is about. */
export interface SurgeOptions {
  /** Index of the gateway; while it is out of the load balancer's rotation, the callers reach the next one that is in. */
  readonly gateway: number
  /** Callers that start in a second, without those that come back. */
  readonly perSecond: number
  /** Key that the callers send. */
  readonly apiKey: { readonly key: string, readonly workspace: string }
  /** Prefix of the attempts' ids. */
  readonly name: string
}

/** Callers at a constant rate. */
export class Surge {
  /** Requests of callers that have not come back. */
  readonly firstRequests: SentRequest[] = []
  /** Requests of callers that have come back. */
  readonly retries: SentRequest[] = []
  readonly #callers: readonly Caller[]
  readonly #timer: Timer
  readonly #startedAt: Millis

  /**
   * @param clock - source of time
   * @param fleet - gateways to send to
   * @param observations - receives the requests
   * @param options - rate and target
   */
  constructor (readonly clock: Clock, readonly fleet: Fleet, readonly observations: Observations, readonly options: SurgeOptions) {
    this.#callers = fleet.gateways.map(({ ports }) => new Caller(clock, ports.callers))
    this.#startedAt = clock.now()
    this.#timer = clock.every(TICK_MS, () => { this.#startDue() })
  }

  /** Starts no more callers; those that have started go on. */
  stop (): void {
    this.#timer.close()
  }

  #startDue (): void {
    const due = (this.clock.now() - this.#startedAt) / 1000 * this.options.perSecond
    while (this.firstRequests.length < due) this.#send(this.firstRequests)
  }

  /** Gateway that the load balancer chooses for these callers. */
  #target (): number {
    const healthy = this.fleet.loadBalancer.healthyGateways()
    const { gateway } = this.options
    return healthy.find(index => index >= gateway) ?? healthy[0] ?? gateway
  }

  #send (requests: SentRequest[]): void {
    const gateway = this.#target()
    const { name, apiKey: { key, workspace } } = this.options
    const sent: SentRequest = {
      gateway,
      incarnation: this.fleet.gateways[gateway]?.incarnation ?? 0,
      attempt: `${name}-${this.firstRequests.length + this.retries.length}`,
      kind: 'stream',
      path: '/stream/surge',
      body: '',
      key,
      workspace,
      sentAt: this.clock.now(),
      timeoutMs: ROUTE_TIMEOUTS_MS.stream,
      revision: undefined,
      isSurge: true,
      end: undefined
    }
    requests.push(sent)
    this.observations.requests.push(sent)
    const isServed = (): boolean => sent.end?.kind === 'response' && sent.end.status === 200
    this.#callers[gateway]?.send(sent, {
      isNewConnection: true,
      patienceMs: PATIENCE_MS,
      onEnd: () => { if (requests === this.firstRequests && !isServed()) this.#send(this.retries) }
    })
  }
}

/** Brings the faults of a schedule about, and notes in the ledger what was disturbed and for how long. */
import { assertNever, type Clock, createLog, type Millis, toError } from '@fuchsiaworks/kernel'
import type { Disturbance, Ledger } from '../promises/ledgerTypes.js'
import type { GATEWAY_FAULTS, LINK_FAULTS, OPERATOR_ACTS, ScheduledFault, STORE_FAULTS, UPSTREAM_FAULTS } from '../schedule/faultTypes.js'
import { type Fleet, ZONES } from './fleet.js'
import { type GatewayProcess, LEAP_SIGNAL } from './gatewayProcess.js'
import type { Operator } from './operator.js'
import type { Relay } from './relays.js'
import type { UpstreamPlace, Upstreams } from './upstreams.js'

/** Milliseconds for which connections that were silenced may go on being used before they are found dead. */
const SILENCE_FOUND_MS: Millis = 4000

/** Milliseconds for which a process that has started counts as disturbed: it reads the store and finds the others. */
const START_MS: Millis = 500

/** Milliseconds between configurations of a series. */
const SERIES_GAP_MS: Millis = 120

/** Configurations of a series. */
const SERIES_LENGTH = 4

const log = createLog('soak')

/** The parts of a soak that faults strike. */
export interface Struck {
  readonly fleet: Fleet
  readonly upstreams: Upstreams
  readonly operator: Operator
}

const at = <T>(items: readonly T[], index: number): T => {
  const item = items[index % items.length]
  if (item === undefined) throw new RangeError('there is nothing to strike')
  return item
}

/** Strikes. */
export class Striker {
  #storeFaults = 0

  /**
   * @param clock - source of time
   * @param struck - what is struck
   * @param ledger - takes the disturbances
   */
  constructor (readonly clock: Clock, readonly struck: Struck, readonly ledger: Ledger) {}

  /** Brings one fault about; it is taken back after its length. */
  strike ({ kind, length }: ScheduledFault): void {
    const { fleet, upstreams } = this.struck
    switch (kind.subject) {
      case 'gateway': return this.#strikeGateway(at(fleet.gateways, kind.index), kind.act, length)
      case 'all-gateways':
        for (const gateway of fleet.gateways) this.#strikeGateway(gateway, kind.act, length)
        return
      case 'store-link': return this.#strikeLink(at(fleet.storeLinks, kind.index), `store-link ${kind.index % fleet.storeLinks.length}`, kind.act, length)
      case 'peer-link': return this.#strikeLink(at(fleet.peerLinks, kind.index), `peer-link ${kind.index % fleet.peerLinks.length}`, kind.act, length)
      case 'upstream-link': {
        const { current } = at(upstreams.places, kind.index)
        if (current !== undefined) this.#strikeLink(current.relay, `upstream-link ${current.standin.facts.id}`, kind.act, length)
        return
      }
      case 'store': return this.#strikeStore(kind.act, length)
      case 'upstream': return this.#strikeUpstream(at(upstreams.places, kind.index), kind.act, length)
      case 'operator': return this.#operate(kind.index, kind.act, length)
      default: assertNever(kind)
    }
  }

  #begin (subject: string, isPlanned = false): Disturbance {
    const disturbance: Disturbance = { subject, from: this.clock.now(), to: undefined, isPlanned }
    this.ledger.disturbances.push(disturbance)
    return disturbance
  }

  #note (subject: string, length: Millis): void {
    const disturbance = this.#begin(subject)
    disturbance.to = disturbance.from + length
  }

  #strikeGateway (gateway: GatewayProcess, act: typeof GATEWAY_FAULTS[number], length: Millis): void {
    if (!gateway.isAlive) return
    const subject = `gateway ${gateway.index}`
    switch (act) {
      case 'stop':
      case 'kill': return this.#restart(gateway, act, length)
      case 'pause':
        gateway.signal('SIGSTOP')
        this.#note(subject, length)
        this.clock.after(length, () => { gateway.signal('SIGCONT') })
        return
      case 'reload': {
        gateway.signal('SIGHUP')
        const planned = this.#begin(subject, true)
        planned.to = planned.from + SILENCE_FOUND_MS
        return
      }
      case 'clock-jump':
        gateway.signal(LEAP_SIGNAL)
        return this.#note(subject, 0)
      default: assertNever(act)
    }
  }

  #restart (gateway: GatewayProcess, act: 'stop' | 'kill', length: Millis): void {
    const disturbance = this.#begin(`gateway ${gateway.index}`, act === 'stop')
    const ended = act === 'stop' ? gateway.stop() : gateway.kill()
    const startAgain = (): void => {
      if (!gateway.isAlive) gateway.start()
      disturbance.to = this.clock.now()
      // A process that has just started knows nothing yet.
      this.#note(`gateway ${gateway.index}`, START_MS)
    }
    ended.then(() => { this.clock.after(act === 'kill' ? length : 0, startAgain) }, err => { log.error('a gateway could not be ended', { reason: toError(err).message }) })
  }

  #strikeLink (link: Relay, subject: string, act: typeof LINK_FAULTS[number], length: Millis): void {
    link.disturb(this.clock, act, length)
    this.#note(subject, act === 'silence' || act === 'one-way' ? Math.max(length, SILENCE_FOUND_MS) : length)
  }

  #strikeStore (act: typeof STORE_FAULTS[number], length: Millis): void {
    const { store } = this.struck.fleet
    this.#note('store', act === 'forget-history' ? 0 : length)
    if (act === 'forget-history') return store.compact()
    this.#storeFaults += 1
    store.fault = act
    this.clock.after(length, () => {
      this.#storeFaults -= 1
      if (this.#storeFaults === 0) store.fault = 'none'
    })
  }

  #strikeUpstream (place: UpstreamPlace, act: typeof UPSTREAM_FAULTS[number], length: Millis): void {
    const { upstreams } = this.struck
    const { current } = place
    if (current === undefined) return
    const subject = `upstream ${current.standin.facts.id}`
    switch (act) {
      case 'crash':
        this.#note(subject, Infinity)
        return upstreams.crash(place, length)
      case 'flap':
        this.#note(subject, Infinity)
        upstreams.crash(place, length / 3)
        this.clock.after(length, () => { this.#strikeUpstream(place, 'crash', length / 3) })
        return
      case 'leave': return upstreams.leave(place, length)
      case 'turn-cold': return upstreams.turnCold(place, length)
      case 'mute':
      case 'full':
      case 'cut-answers':
      case 'extra-bytes':
        current.standin.fault = act
        this.#note(subject, length)
        this.clock.after(length, () => { current.standin.fault = 'none' })
        return
      default: assertNever(act)
    }
  }

  #operate (index: number, act: typeof OPERATOR_ACTS[number], length: Millis): void {
    const { operator } = this.struck
    switch (act) {
      case 'publish': return operator.publish()
      case 'publish-series':
        for (let nth = 0; nth < SERIES_LENGTH; nth++) this.clock.after(nth * SERIES_GAP_MS, () => { operator.publish() })
        return
      case 'take-key': return operator.takeKey(index)
      case 'close-zone': return operator.closeZone(at(ZONES, index), length)
      default: assertNever(act)
    }
  }
}

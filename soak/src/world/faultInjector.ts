/** Injects the faults of a schedule, and records which component was disturbed and for how long. */
import { seededRandom } from '@fuchsiaworks/bench'
import { assertNever, type Clock, createLog, type Millis, toError } from '@fuchsiaworks/kernel'
import { Surge } from '../callers/surge.js'
import type { Disturbance, Observations } from '../invariants/observationTypes.js'
import { type GATEWAY_FAULTS, type LINK_FAULTS, type OPERATOR_ACTIONS, RESPONSES_REPEATED, type ScheduledFault, type STORE_FAULTS, STORE_RESTORE, type UPSTREAM_FAULTS } from '../schedule/faultTypes.js'
import { type Fleet, ZONES } from './fleet.js'
import { type GatewayProcess, CLOCK_JUMP_SIGNAL } from './gatewayProcess.js'
import type { Operator } from './operator.js'
import type { Relay } from './relay.js'
import { MAX_REPEAT_DELAY_MS, ResponseRepeater } from './responseRepeater.js'
import { Throttle } from './throttle.js'
import type { UpstreamReplica, Upstreams } from './upstreams.js'

/** Time until a peer detects that a silenced connection is dead; until then it may still use it. */
const SILENCE_DETECTION_MS: Millis = 4000

/** Time after its start during which a gateway counts as disturbed: it reads the store and discovers its peers. */
const GATEWAY_START_MS: Millis = 500

/** Time between two publications of a series. */
const PUBLISH_INTERVAL_MS: Millis = 120

const PUBLICATIONS_PER_SERIES = 4

/** Share of a core of a gateway that callers press on, and their number in a second: more than it can serve by itself. */
const PRESSED_SHARE = 0.2
const PRESS_PER_SECOND = 120

/** Time for which a store that comes back from a copy is away, and the time after that in which what it lost is written again. */
const RESTORE_DOWNTIME_MS: Millis = 300
const WRITTEN_AGAIN_MS: Millis = 1000

/** Share of the responses of an upstream that it repeats. */
const REPEATED_SHARE = 0.3

const log = createLog('soak')

/** The parts of a soak that faults can disturb. */
export interface FaultTargets {
  readonly fleet: Fleet
  readonly upstreams: Upstreams
  readonly operator: Operator
}

const selectByIndex = <T>(items: readonly T[], index: number): T => {
  const item = items[index % items.length]
  if (item === undefined) throw new RangeError('no target for the fault: the list is empty')
  return item
}

/** Injects faults into a running soak. */
export class FaultInjector {
  #activeStoreFaults = 0
  #presses = 0

  /**
   * @param clock - source of time
   * @param targets - the parts that can be disturbed
   * @param observations - receives the disturbances
   */
  constructor (readonly clock: Clock, readonly targets: FaultTargets, readonly observations: Observations) {}

  /** Injects one fault and clears it after its duration. */
  inject ({ kind, durationMs }: ScheduledFault): void {
    const { fleet, upstreams } = this.targets
    switch (kind.target) {
      case 'gateway': return this.#injectGatewayFault(selectByIndex(fleet.gateways, kind.index), kind.action, durationMs)
      case 'all-gateways':
        for (const gateway of fleet.gateways) this.#injectGatewayFault(gateway, kind.action, durationMs)
        return
      case 'store-link': return this.#injectLinkFault(selectByIndex(fleet.storeLinks, kind.index), `store-link ${kind.index % fleet.storeLinks.length}`, kind.action, durationMs)
      case 'peer-link': return this.#injectLinkFault(selectByIndex(fleet.peerLinks, kind.index), `peer-link ${kind.index % fleet.peerLinks.length}`, kind.action, durationMs)
      case 'upstream-link': {
        const { instance } = selectByIndex(upstreams.replicas, kind.index)
        if (instance !== undefined) this.#injectLinkFault(instance.relay, `upstream-link ${instance.standin.properties.id}`, kind.action, durationMs)
        return
      }
      case 'store': return kind.action === STORE_RESTORE ? this.#restoreStore(durationMs) : this.#injectStoreFault(kind.action, durationMs)
      case 'upstream': {
        const replica = selectByIndex(upstreams.replicas, kind.index)
        return kind.action === RESPONSES_REPEATED ? this.#repeatResponses(replica, kind.seed, durationMs) : this.#injectUpstreamFault(replica, kind.action, durationMs)
      }
      case 'operator': return this.#runOperatorAction(kind.index, kind.action, durationMs)
      case 'callers': return this.#press(kind.index % fleet.gateways.length, durationMs)
      default: assertNever(kind)
    }
  }

  #beginDisturbance (component: string, isPlanned = false): Disturbance {
    const disturbance: Disturbance = { component, from: this.clock.now(), to: undefined, isPlanned }
    this.observations.disturbances.push(disturbance)
    return disturbance
  }

  #recordDisturbance (component: string, durationMs: Millis): void {
    const disturbance = this.#beginDisturbance(component)
    disturbance.to = disturbance.from + durationMs
  }

  #injectGatewayFault (gateway: GatewayProcess, action: typeof GATEWAY_FAULTS[number], durationMs: Millis): void {
    if (!gateway.isAlive) return
    const component = `gateway ${gateway.index}`
    switch (action) {
      case 'stop':
      case 'kill': return this.#restartGateway(gateway, action, durationMs)
      case 'pause':
        gateway.suspend('pause')
        this.#recordDisturbance(component, durationMs)
        this.clock.after(durationMs, () => { gateway.resume('pause') })
        return
      case 'reload': {
        gateway.signal('SIGHUP')
        const reload = this.#beginDisturbance(component, true)
        reload.to = reload.from + SILENCE_DETECTION_MS
        return
      }
      case 'clock-jump':
        gateway.signal(CLOCK_JUMP_SIGNAL)
        return this.#recordDisturbance(component, 0)
      default: assertNever(action)
    }
  }

  #restartGateway (gateway: GatewayProcess, action: 'stop' | 'kill', durationMs: Millis): void {
    const disturbance = this.#beginDisturbance(`gateway ${gateway.index}`, action === 'stop')
    const exited = action === 'stop' ? gateway.stop() : gateway.kill()
    const start = (): void => {
      if (!gateway.isAlive) gateway.start()
      disturbance.to = this.clock.now()
      // A gateway that has just started has not read the store yet.
      this.#recordDisturbance(`gateway ${gateway.index}`, GATEWAY_START_MS)
    }
    exited.then(() => { this.clock.after(action === 'kill' ? durationMs : 0, start) }, err => { log.error('could not stop a gateway process', { reason: toError(err).message }) })
  }

  #injectLinkFault (link: Relay, component: string, action: typeof LINK_FAULTS[number], durationMs: Millis): void {
    link.injectFault(this.clock, action, durationMs)
    this.#recordDisturbance(component, action === 'silence' || action === 'one-way' ? Math.max(durationMs, SILENCE_DETECTION_MS) : durationMs)
  }

  #injectStoreFault (action: typeof STORE_FAULTS[number], durationMs: Millis): void {
    const { store } = this.targets.fleet
    this.#recordDisturbance('store', action === 'forget-history' ? 0 : durationMs)
    if (action === 'forget-history') return store.compact()
    this.#activeStoreFaults += 1
    store.fault = action
    this.clock.after(durationMs, () => {
      this.#activeStoreFaults -= 1
      if (this.#activeStoreFaults === 0) store.fault = 'none'
    })
  }

  /** The store is away for a moment, and comes back from a copy taken at the start of the fault. */
  #restoreStore (ageMs: Millis): void {
    const { store } = this.targets.fleet
    const copy = store.copy()
    this.clock.after(ageMs, () => {
      this.#injectStoreFault('reset', RESTORE_DOWNTIME_MS)
      this.#recordDisturbance('store', RESTORE_DOWNTIME_MS + WRITTEN_AGAIN_MS)
      const writeAgain = store.restore(copy)
      this.clock.after(RESTORE_DOWNTIME_MS + WRITTEN_AGAIN_MS, writeAgain)
    })
  }

  #injectUpstreamFault (replica: UpstreamReplica, action: typeof UPSTREAM_FAULTS[number], durationMs: Millis): void {
    const { upstreams } = this.targets
    const { instance } = replica
    if (instance === undefined) return
    const component = `upstream ${instance.standin.properties.id}`
    switch (action) {
      case 'crash':
        this.#recordDisturbance(component, Infinity)
        return upstreams.crash(replica, durationMs)
      case 'flap':
        this.#recordDisturbance(component, Infinity)
        upstreams.crash(replica, durationMs / 3)
        this.clock.after(durationMs, () => { this.#injectUpstreamFault(replica, 'crash', durationMs / 3) })
        return
      case 'leave': return upstreams.drain(replica, durationMs)
      case 'turn-cold': return upstreams.enterColdStart(replica, durationMs)
      case 'hang':
      case 'full':
      case 'truncate-responses':
      case 'extra-bytes':
        instance.standin.fault = action
        this.#recordDisturbance(component, durationMs)
        this.clock.after(durationMs, () => { instance.standin.fault = 'none' })
        return
      default: assertNever(action)
    }
  }

  #repeatResponses ({ instance }: UpstreamReplica, seed: number, durationMs: Millis): void {
    if (instance === undefined) return
    const { standin } = instance
    const repeater = new ResponseRepeater(this.clock, seededRandom(seed), REPEATED_SHARE)
    standin.responseRepeater = repeater
    this.#recordDisturbance(`upstream ${standin.properties.id}`, durationMs + MAX_REPEAT_DELAY_MS)
    this.clock.after(durationMs, () => { if (standin.responseRepeater === repeater) standin.responseRepeater = undefined })
  }

  /** Callers press on a gateway on a small host. This is no disturbance: the promises hold for it. */
  #press (index: number, durationMs: Millis): void {
    const { fleet, operator } = this.targets
    const apiKey = operator.keyOfFirstWorkspace()
    const gateway = selectByIndex(fleet.gateways, index)
    if (apiKey === undefined) return
    this.#presses += 1
    this.observations.presses.push({ gateway: index, from: this.clock.now() })
    const throttle = new Throttle(this.clock, gateway, PRESSED_SHARE)
    const surge = new Surge(this.clock, fleet, this.observations, { gateway: index, perSecond: PRESS_PER_SECOND, apiKey, name: `surge${this.#presses}` })
    this.clock.after(durationMs, () => {
      surge.stop()
      throttle.close()
    })
  }

  #runOperatorAction (index: number, action: typeof OPERATOR_ACTIONS[number], durationMs: Millis): void {
    const { operator } = this.targets
    switch (action) {
      case 'publish': return operator.publish()
      case 'publish-series':
        for (let publication = 0; publication < PUBLICATIONS_PER_SERIES; publication++) this.clock.after(publication * PUBLISH_INTERVAL_MS, () => { operator.publish() })
        return
      case 'revoke-key': return operator.revokeKey(index)
      case 'exclude-zone': return operator.excludeZone(selectByIndex(ZONES, index), durationMs)
      default: assertNever(action)
    }
  }
}

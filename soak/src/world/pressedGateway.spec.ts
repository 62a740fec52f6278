import { describe, it } from 'node:test'
import { readProcess } from '@fuchsiaworks/bench'
import { asId, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { putUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { Surge } from '../callers/surge.js'
import { newConnectionsTaken } from '../invariants/fleetChecks.js'
import { emptyObservations, type Observations, type SentRequest } from '../invariants/observationTypes.js'
import { buildFleet, type Fleet } from './fleet.js'
import { COMPILED_PROGRAM, type GatewayProcess } from './gatewayProcess.js'
import { Operator } from './operator.js'
import { SERVICES } from './routes.js'
import { Throttle } from './throttle.js'
import { UpstreamStandin } from './upstreamStandin.js'

const GATEWAYS = 3
const UPSTREAMS = 4
const SLOTS = 64

/** Share of a core that the pressed gateway gets, and its load as a multiple of what that share can serve. */
const SHARE = 0.2
const OVERLOAD = 2.5

const FLEET_START_MS: Millis = 4000
const WARM_UP = { perSecond: 80, ms: 3000 } as const
const CALIBRATION_MS: Millis = 3000
const SURGE_MS: Millis = 9000

/** Time for the last callers to be served, or to leave and come back. */
const SETTLE_MS: Millis = 4000

/** Smallest share of the callers that a fleet with idle gateways has to serve. */
const MIN_SERVED_SHARE = 0.8

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const isServed = ({ end }: SentRequest): boolean => end?.kind === 'response' && end.status === 200

/** A fleet with upstreams that are never full. */
class PressedFleet {
  readonly observations: Observations = emptyObservations()
  readonly #upstreams = Array.from({ length: UPSTREAMS }, (_, nth) =>
    new UpstreamStandin(systemClock, { id: `u${nth}`, service: SERVICES.stream, zone: 'north', slots: SLOTS }, this.observations, () => {}))

  private constructor (readonly fleet: Fleet, readonly operator: Operator) {}

  static async start (): Promise<PressedFleet> {
    const fleet = await buildFleet(systemClock, GATEWAYS, COMPILED_PROGRAM)
    const started = new PressedFleet(fleet, new Operator(systemClock, fleet.store, emptyObservations()))
    started.operator.publish()
    for (const upstream of started.#upstreams) {
      await upstream.start()
      const { id, service, zone, slots } = upstream.properties
      putUpstream(fleet.store, { id: asId(id), service: asId(service), zone: asId(zone), address: `127.0.0.1:${upstream.port}`, slots, isDraining: false }, 0)
    }
    for (const gateway of fleet.gateways) gateway.start()
    await pause(FLEET_START_MS)
    return started
  }

  get pressed (): GatewayProcess {
    const [gateway] = this.fleet.gateways
    if (gateway === undefined) throw new RangeError('no gateway')
    return gateway
  }

  /** Starts callers of the pressed gateway. */
  startSurge (name: string, perSecond: number): Surge {
    const apiKey = this.operator.keyOfFirstWorkspace()
    if (apiKey === undefined) throw new RangeError('no API key')
    return new Surge(systemClock, this.fleet, this.observations, { gateway: 0, perSecond, apiKey, name })
  }

  /** Measures how many callers a second the gateway serves with one core. */
  async measureCapacity (): Promise<number> {
    const surge = this.startSurge('warm-up', WARM_UP.perSecond)
    await pause(WARM_UP.ms)
    const before = readProcess(this.pressed.pid)
    await pause(CALIBRATION_MS)
    const after = readProcess(this.pressed.pid)
    surge.stop()
    await pause(1000)
    if (before === undefined || after === undefined) throw new Error('no processor time of the gateway')
    return WARM_UP.perSecond * (after.at - before.at) / (after.processorMs - before.processorMs)
  }

  async close (): Promise<void> {
    await this.fleet.close()
    for (const upstream of this.#upstreams) upstream.close()
  }
}

describe('a gateway whose callers ask for more than its processor can serve', () => {
  it('takes new connections all the time, and its callers are served by the processors of its peers', async () => {
    const world = await PressedFleet.start()
    try {
      const capacity = await world.measureCapacity()
      const throttle = new Throttle(systemClock, world.pressed, SHARE)
      const surge = world.startSurge('surge', capacity * SHARE * OVERLOAD)
      await pause(SURGE_MS)
      surge.stop()
      await pause(SETTLE_MS)
      throttle.close()
      const served = [...surge.firstRequests, ...surge.retries].filter(isServed)
      console.log(`${served.length} of ${surge.firstRequests.length} callers served at ${Math.round(surge.options.perSecond)} a second, ${surge.retries.length} came back`)
      expect(newConnectionsTaken.find(world.observations, systemClock.now())).toEqual(undefined)
      expect(served.length / surge.firstRequests.length).toBeGreaterThan(MIN_SERVED_SHARE)
    } finally {
      await world.close()
    }
  })
})

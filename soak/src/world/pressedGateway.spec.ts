import { describe, it } from 'node:test'
import { readProcess } from '@fuchsiaworks/bench'
import { asId, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { putUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { Surge, type SurgeAttempt } from '../callers/surge.js'
import { BOUNDS } from '../invariants/bounds.js'
import { emptyObservations } from '../invariants/observationTypes.js'
import { buildFleet, type Fleet } from './fleet.js'
import { COMPILED_PROGRAM } from './gatewayProcess.js'
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

/** Starts a fleet with upstreams that are never full. */
const startFleet = async (): Promise<{ fleet: Fleet, apiKey: string, close: () => Promise<void> }> => {
  const observations = emptyObservations()
  const fleet = await buildFleet(systemClock, GATEWAYS, COMPILED_PROGRAM)
  const operator = new Operator(systemClock, fleet.store, observations)
  operator.publish()
  const upstreams = Array.from({ length: UPSTREAMS }, (_, nth) =>
    new UpstreamStandin(systemClock, { id: `u${nth}`, service: SERVICES.stream, zone: 'north', slots: SLOTS }, observations, () => {}))
  for (const upstream of upstreams) {
    await upstream.start()
    const { id, service, zone, slots } = upstream.properties
    putUpstream(fleet.store, { id: asId(id), service: asId(service), zone: asId(zone), address: `127.0.0.1:${upstream.port}`, slots, isDraining: false }, 0)
  }
  for (const gateway of fleet.gateways) gateway.start()
  await pause(FLEET_START_MS)
  return {
    fleet,
    apiKey: operator.keyOfFirstWorkspace()?.key ?? '',
    close: async () => {
      await fleet.close()
      for (const upstream of upstreams) upstream.close()
    }
  }
}

/** Measures how many callers a second the gateway serves with one core. */
const measureCapacity = async ({ gateways: [pressed] }: Fleet, apiKey: string): Promise<number> => {
  const surge = new Surge(systemClock, pressed?.ports.callers ?? 0, apiKey, WARM_UP.perSecond, 'warm-up')
  await pause(WARM_UP.ms)
  const before = readProcess(pressed?.pid ?? 0)
  await pause(CALIBRATION_MS)
  const after = readProcess(pressed?.pid ?? 0)
  surge.stop()
  await pause(1000)
  if (before === undefined || after === undefined) throw new Error('no processor time of the gateway')
  return WARM_UP.perSecond * (after.at - before.at) / (after.processorMs - before.processorMs)
}

/** Longest time in which callers that had connected were not served and no other caller was. */
const longestGapMs = (attempts: readonly SurgeAttempt[]): Millis => {
  const servedAt = attempts.flatMap(({ outcome, sentAt }) => outcome === 'served' ? [sentAt] : []).sort((a, b) => a - b)
  const bounds = [attempts[0]?.sentAt ?? 0, ...servedAt, attempts.at(-1)?.sentAt ?? 0]
  return Math.max(...bounds.slice(1).map((at, nth) => at - (bounds[nth] ?? at)))
}

describe('a gateway whose callers ask for more than its processor can serve', () => {
  it('takes new connections all the time, and its callers are served by the processors of its peers', async () => {
    const { fleet, apiKey, close } = await startFleet()
    const [pressed] = fleet.gateways
    try {
      const capacity = await measureCapacity(fleet, apiKey)
      const throttle = new Throttle(systemClock, name => { pressed?.signal(name) }, SHARE)
      const surge = new Surge(systemClock, pressed?.ports.callers ?? 0, apiKey, capacity * SHARE * OVERLOAD, 'surge')
      await pause(SURGE_MS)
      surge.stop()
      await pause(SETTLE_MS)
      throttle.close()
      const callers = surge.attempts.filter(({ isRetry }) => !isRetry)
      const served = surge.attempts.filter(({ outcome }) => outcome === 'served')
      console.log(`${served.length} of ${callers.length} callers served at ${Math.round(surge.perSecond)} a second; longest time without one ${Math.round(longestGapMs(surge.attempts))} ms`)
      expect(longestGapMs(surge.attempts)).toBeLessThan(BOUNDS.recoveryFromDisturbanceMs)
      expect(served.length / callers.length).toBeGreaterThan(MIN_SERVED_SHARE)
    } finally {
      await close()
    }
  })
})

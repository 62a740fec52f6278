import { describe, it } from 'node:test'
import { asId, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { putUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { Caller } from '../callers/caller.js'
import { createRequest } from '../callers/createRequest.js'
import { runsByAttempt } from '../invariants/byAttempt.js'
import { emptyObservations, type Observations } from '../invariants/observationTypes.js'
import { buildFleet } from './fleet.js'
import { COMPILED_PROGRAM } from './gatewayProcess.js'
import { Operator } from './operator.js'
import { RefusalRepeater } from './refusalRepeater.js'
import { SERVICES } from './routes.js'
import { UpstreamStandin } from './upstreamStandin.js'

const GATEWAYS = 2
const UPSTREAMS = 3
const SLOTS = 64
const FLEET_START_MS: Millis = 4000
const REQUESTS = 1200
const REQUEST_INTERVAL_MS: Millis = 8
const END_MS: Millis = 3000

/** One request of this many is refused by its upstream. */
const REFUSED_EVERY = 5

/** Statuses that promise that a request has not run. */
const PROMISES = [408, 421, 429, 503]

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** What callers, upstreams and the logs of the gateways show. */
interface Play {
  readonly served: number
  /** Requests during whose run an earlier refusal was written. */
  readonly hit: number
  /** Requests that got a promise although they had run. */
  readonly falsePromises: number
  readonly ranTwice: number
  /** Requests that got neither a success nor a promise, though no refusal was written during their run. */
  readonly failedNeedlessly: number
  /** Attempts whose responses were not attributed, by their reason in the logs. */
  readonly unattributed: number
  readonly otherRequest: number
}

const evaluate = ({ requests, ...observations }: Observations, hit: ReadonlySet<string>, output: readonly string[]): Play => {
  const runs = runsByAttempt({ requests, ...observations })
  const statusOf = ({ end }: Observations['requests'][number]): number => end?.kind === 'response' ? end.status : 0
  const countLines = (reason: string): number => output.filter(line => line.includes('attempt failed') && line.includes(reason)).length
  return {
    served: requests.filter(sent => statusOf(sent) === 200).length,
    hit: hit.size,
    falsePromises: requests.filter(sent => PROMISES.includes(statusOf(sent)) && runs.has(sent.attempt)).length,
    ranTwice: requests.filter(({ attempt }) => (runs.get(attempt)?.length ?? 0) > 1).length,
    failedNeedlessly: requests.filter(sent => statusOf(sent) !== 200 && !PROMISES.includes(statusOf(sent)) && !hit.has(sent.attempt)).length,
    unattributed: countLines('unattributed'),
    otherRequest: countLines('other-request')
  }
}

/** Sends requests that may run at most once to gateways whose upstreams have the fault, if any. */
const play = async (createFault: () => RefusalRepeater | undefined): Promise<Play> => {
  const observations = emptyObservations()
  const fleet = await buildFleet(systemClock, GATEWAYS, COMPILED_PROGRAM)
  const upstreams = Array.from({ length: UPSTREAMS }, (_, nth) =>
    new UpstreamStandin(systemClock, { id: `u${nth}`, service: SERVICES.plain, zone: 'north', slots: SLOTS }, observations, () => {}))
  const callers = fleet.gateways.map(({ ports }) => new Caller(systemClock, ports.callers))
  try {
    const operator = new Operator(systemClock, fleet.store, emptyObservations())
    operator.publish()
    for (const upstream of upstreams) {
      upstream.refusalRepeater = createFault()
      await upstream.start()
      const { id, service, zone, slots } = upstream.properties
      putUpstream(fleet.store, { id: asId(id), service: asId(service), zone: asId(zone), address: `127.0.0.1:${upstream.port}`, slots, isDraining: false }, 0)
    }
    for (const gateway of fleet.gateways) gateway.start()
    await pause(FLEET_START_MS)
    for (let nth = 0; nth < REQUESTS; nth++) {
      const sent = createRequest(systemClock, operator, { gateway: nth % GATEWAYS, kind: 'once', attempt: `r${nth}` })
      if (sent === undefined) throw new RangeError('no key')
      observations.requests.push(sent)
      callers[nth % GATEWAYS]?.send(sent, { isNewConnection: false })
      await pause(REQUEST_INTERVAL_MS)
    }
    await pause(END_MS)
    const result = evaluate(observations, new Set(upstreams.flatMap(({ refusalRepeater }) => refusalRepeater?.hit ?? [])), fleet.gateways.flatMap(({ output }) => output))
    console.log(JSON.stringify(result))
    return result
  } finally {
    for (const caller of callers) caller.close()
    await fleet.close()
    for (const upstream of upstreams) upstream.close()
  }
}

describe('gateways before upstreams', () => {
  for (const [title, hasId] of [['that repeat refusals without an id', false], ['that repeat refusals with the id of the earlier request', true]] as const) {
    it(`${title} promise nothing false, and let no request run twice`, async () => {
      const result = await play(() => new RefusalRepeater(REFUSED_EVERY, hasId))
      expect(result.hit).toBeGreaterThan(0)
      expect([result.falsePromises, result.ranTwice, result.failedNeedlessly]).toEqual([0, 0, 0])
      expect([result.unattributed > 0, result.otherRequest > 0]).toEqual([!hasId, hasId])
    })
  }

  it('that are sound attribute every response', async () => {
    const result = await play(() => undefined)
    expect([result.served, result.unattributed, result.otherRequest]).toEqual([REQUESTS, 0, 0])
  })
})

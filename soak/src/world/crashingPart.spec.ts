import { describe, it } from 'node:test'
import { asId, type Millis, systemClock, type Timer } from '@fuchsiaworks/kernel'
import { putUpstream, removeUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { Caller } from '../callers/caller.js'
import { emptyObservations, type Observations, type SentRequest } from '../invariants/observationTypes.js'
import { buildFleet, type Fleet } from './fleet.js'
import { COMPILED_PROGRAM } from './gatewayProcess.js'
import { Operator } from './operator.js'
import { ROUTE_TIMEOUTS_MS, SERVICES } from './routes.js'
import { CRASH_PART } from './upstreamResponses.js'
import { UpstreamStandin } from './upstreamStandin.js'

/** Bounds of the users' rules. */
const CONTACT_MS: Millis = 3000
const TOLERATED_CRASHES = 5
const TOLERATED_LATE_ARRIVALS = 3
const MIN_BEGUN_RATIO = 0.5

const GATEWAYS = 5
const UPSTREAMS = 6
const SLOTS = 64

/** Sound requests a second, over all gateways; a few of the subjects are asked for often, most of them seldom. */
const SOUND_INTERVAL_MS: Millis = 20
const SUBJECTS = 300
const POPULAR_SUBJECTS = 5

/** Time between two requests with the crash part. */
const CRASH_PART_INTERVAL_MS: Millis = 700

const FLEET_START_MS: Millis = 4000
const CALM_MS: Millis = 3000
const STORM_MS: Millis = 18_000
const SETTLE_MS: Millis = 1000

/** Time from a crash until its entry in the store expires, and until the replacement serves. */
const ENTRY_EXPIRY_MS: Millis = 3600
const DOWNTIME_MS: Millis = 3500

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const hasCrashPart = ({ parts }: { readonly parts?: string }): boolean => parts?.includes(CRASH_PART) === true

const hasBegun = ({ end }: SentRequest): boolean => end !== undefined && end.kind !== 'left' && end.status === 200

/** A fleet whose upstreams crash under one prompt part; a crashed one is replaced by one with another id. */
class CrashingFleet {
  readonly observations: Observations = emptyObservations()
  /** Times of the crashes. */
  readonly crashes: Millis[] = []
  readonly #standins: UpstreamStandin[] = []
  readonly #callers: readonly Caller[]
  readonly #timers: Timer[] = []
  #sent = 0
  #isClosed = false

  private constructor (readonly fleet: Fleet, readonly operator: Operator) {
    this.#callers = fleet.gateways.map(({ ports }) => new Caller(systemClock, ports.callers))
  }

  static async start (): Promise<CrashingFleet> {
    const fleet = await buildFleet(systemClock, GATEWAYS, COMPILED_PROGRAM)
    const started = new CrashingFleet(fleet, new Operator(systemClock, fleet.store, emptyObservations()))
    started.operator.publish()
    for (let nth = 0; nth < UPSTREAMS; nth++) await started.#startUpstream()
    for (const gateway of fleet.gateways) gateway.start()
    await pause(FLEET_START_MS)
    return started
  }

  /** Sends sound requests: the caller and all parts are those of requests with the crash part, but for that part. */
  startSound (): void {
    this.#timers.push(systemClock.every(SOUND_INTERVAL_MS, () => {
      const subject = this.#sent % 2 === 0 ? this.#sent % POPULAR_SUBJECTS : this.#sent % SUBJECTS
      this.#send(this.#sent % GATEWAYS, `a1:200,b${subject}:100,c${this.#sent}:50`)
    }))
  }

  /** Sends requests with the crash part to each gateway in turn; their callers come back once. */
  startCrashing (): void {
    let turn = 0
    this.#timers.push(systemClock.every(CRASH_PART_INTERVAL_MS, () => {
      turn += 1
      const parts = `a1:200,${CRASH_PART}:20,b${turn % SUBJECTS}:100,c${this.#sent}:50`
      this.#send(turn % GATEWAYS, parts, sent => { if (!hasBegun(sent)) this.#send((turn + 1) % GATEWAYS, parts) })
    }))
  }

  async close (): Promise<void> {
    this.#isClosed = true
    for (const timer of this.#timers) timer.close()
    for (const caller of this.#callers) caller.close()
    await this.fleet.close()
    for (const standin of this.#standins) standin.close()
  }

  async #startUpstream (): Promise<void> {
    if (this.#isClosed) return
    const id = `u${this.#standins.length}`
    const standin = new UpstreamStandin(systemClock, { id, service: SERVICES.stream, zone: this.#standins.length % 2 === 0 ? 'north' : 'south', slots: SLOTS }, this.observations, () => { this.#crash(standin) })
    this.#standins.push(standin)
    await standin.start()
    const { service, zone, slots } = standin.properties
    putUpstream(this.fleet.store, { id: asId(id), service: asId(service), zone: asId(zone), address: `127.0.0.1:${standin.port}`, slots, isDraining: false }, 0)
  }

  #crash (standin: UpstreamStandin): void {
    if (standin.isClosed) return
    this.crashes.push(systemClock.now())
    standin.crash()
    this.#timers.push(
      systemClock.after(ENTRY_EXPIRY_MS, () => { removeUpstream(this.fleet.store, standin.properties.id) }),
      systemClock.after(DOWNTIME_MS, () => { this.#startUpstream().catch(err => { throw err }) })
    )
  }

  #send (gateway: number, parts: string, onEnd: (sent: SentRequest) => void = () => {}): void {
    const apiKey = this.operator.keyOfFirstWorkspace()
    if (apiKey === undefined || this.#isClosed) return
    this.#sent += 1
    const sent: SentRequest = {
      gateway,
      incarnation: 1,
      attempt: `r${this.#sent}`,
      kind: 'stream',
      path: '/stream/x',
      body: `body ${parts}`,
      parts,
      key: apiKey.key,
      workspace: apiKey.workspace,
      sentAt: systemClock.now(),
      timeoutMs: ROUTE_TIMEOUTS_MS.stream,
      revision: undefined,
      end: undefined
    }
    this.observations.requests.push(sent)
    this.#callers[gateway]?.send(sent, { isNewConnection: false, onEnd: () => { onEnd(sent) } })
  }
}

describe('a prompt part that crashes each upstream which begins to answer it', () => {
  it('no longer reaches upstreams after the fifth crash, and requests that share the other parts are served', async () => {
    const world = await CrashingFleet.start()
    try {
      const calmFrom = systemClock.now()
      world.startSound()
      await pause(CALM_MS)
      const stormFrom = systemClock.now()
      world.startCrashing()
      await pause(STORM_MS)
      const stormTo = systemClock.now()
      await pause(SETTLE_MS)

      const { requests, arrivals } = world.observations
      const begunShare = (from: Millis, to: Millis): number => {
        const sound = requests.filter(req => !hasCrashPart(req) && req.sentAt >= from && req.sentAt < to)
        return sound.filter(hasBegun).length / sound.length
      }
      const last = world.crashes[Math.min(TOLERATED_CRASHES, world.crashes.length) - 1] ?? stormFrom
      const late = arrivals.filter(arrival => world.crashes.length >= TOLERATED_CRASHES && hasCrashPart(arrival) && arrival.at > last + CONTACT_MS)
      const [calm, storm] = [begunShare(calmFrom, stormFrom), begunShare(last + 2 * CONTACT_MS, stormTo)]
      console.log(`${world.crashes.length} crashes, ${late.length} late arrivals; sound requests begun: ${calm.toFixed(3)} before, ${storm.toFixed(3)} after`)
      expect(world.crashes.length).toBeGreaterThan(0)
      expect(late.length <= TOLERATED_LATE_ARRIVALS).toEqual(true)
      expect(storm).toBeGreaterThan(calm * MIN_BEGUN_RATIO)
    } finally {
      await world.close()
    }
  })
})

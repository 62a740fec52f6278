/** A fleet in front of upstreams of several software versions, with callers that take up their broken streams at other gateways. */
import { asId, type Millis, systemClock, type Timer } from '@fuchsiaworks/kernel'
import { putUpstream, removeUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { Caller } from '../callers/caller.js'
import { createRequest } from '../callers/createRequest.js'
import { emptyObservations, type SentRequest } from '../invariants/observationTypes.js'
import { buildFleet, type Fleet } from './fleet.js'
import { COMPILED_PROGRAM } from './gatewayProcess.js'
import { Operator } from './operator.js'
import { SERVICES } from './routes.js'
import { EVENTS_PER_STREAM } from './upstreamResponses.js'
import { UpstreamStandin } from './upstreamStandin.js'

/** Time after its start from which a gateway counts as in contact with its peers. */
const CONTACT_MS: Millis = 3000

const GATEWAYS = 4
const VERSIONS = ['v1', 'v2'] as const
const UPSTREAMS_PER_VERSION = 3
const SLOTS = 64
const EVENT_INTERVAL_MS: Millis = 120

const FLEET_START_MS: Millis = 4000

/** Interval between two streams that begin. */
const STREAM_INTERVAL_MS: Millis = 20

const CRASH_INTERVAL_MS: Millis = 1900
const ENTRY_EXPIRY_MS: Millis = 600
const CRASH_DOWNTIME_MS: Millis = 900

const KILL_INTERVAL_MS: Millis = 2600
const KILL_DOWNTIME_MS: Millis = 700

const CUT_INTERVAL_MS: Millis = 2300
const CUT_MS: Millis = 900

/** Times that a caller takes up its stream, and its pause before that. */
const MAX_TRIES = 3
const COME_BACK_MS: Millis = 60

/** Pause between two tries of a caller that tries until its stream has lasted as long as one may. */
const PERSISTENT_PAUSE_MS: Millis = 300

/** Share of the streams that are taken up at the preferred gateway. */
const PREFERENCE = { share: 7, of: 10 } as const

const EVENT = /id: (\d+)\ndata: [^/]+\/\d+\/(\S+)\n\n/g

export const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** A stream over all tries of its caller. */
export interface CallerStream {
  /** Attempt that brought the first event. */
  origin: string | undefined
  readonly versions: Set<string>
  lastEventId: number
  readonly beganAt: Millis
  /** Time of the first try that takes it up; undefined while it has not broken. */
  takenUpAt: Millis | undefined
  /** True when the gateway that takes it up has run for long enough, and so have two upstreams of its version. */
  isCounted: boolean
  hasGoneOn: boolean
  isComplete: boolean
}

/** Versions at the start, and how callers take up their streams. */
export interface VersionedFleetOptions {
  readonly versions?: readonly string[]
  /** Versions of a second service, among which and the first the route of streams is split; without any, there is only the first service. */
  readonly secondVersions?: readonly string[]
  /** Longest lifetime of a stream; if given, callers take their streams up until it is over, and wait for a gateway when none runs. */
  readonly streamLifetimeMs?: Millis
}

/** Service that has the versions of `secondVersions`. */
export const SECOND_SERVICE = 'second'

/** A fleet in front of upstreams of several versions, most often of one service. */
export class VersionedFleet {
  readonly streams: CallerStream[] = []
  readonly #upstreams = new Map<string, UpstreamStandin>()
  readonly #callers: readonly Caller[]
  readonly #startedAt: Millis[] = []
  readonly #timers: Timer[] = []
  /** Gateway that most callers choose to take up their streams; undefined when they have no preference. */
  preferredGateway: number | undefined
  #count = 0
  #isClosed = false

  private constructor (readonly fleet: Fleet, readonly operator: Operator, readonly streamLifetimeMs: Millis | undefined) {
    this.#callers = fleet.gateways.map(({ ports }) => new Caller(systemClock, ports.callers))
  }

  static async start ({ versions = VERSIONS, secondVersions = [], streamLifetimeMs }: VersionedFleetOptions = {}): Promise<VersionedFleet> {
    const fleet = await buildFleet(systemClock, GATEWAYS, COMPILED_PROGRAM)
    const started = new VersionedFleet(fleet, new Operator(systemClock, fleet.store, emptyObservations(), streamLifetimeMs), streamLifetimeMs)
    started.routeStreams(secondVersions.length > 0 ? [SERVICES.stream, SECOND_SERVICE] : [SERVICES.stream])
    for (const version of versions) await started.startVersion(version)
    for (const version of secondVersions) await started.startVersion(version, SECOND_SERVICE)
    fleet.gateways.forEach((_, gateway) => { started.#startGateway(gateway) })
    await pause(FLEET_START_MS)
    return started
  }

  /** Publishes a configuration whose route of streams leads to the services. */
  routeStreams (services: readonly string[]): void {
    this.operator.streamServices = services
    this.operator.publish()
  }

  /** Starts upstreams of a version. */
  async startVersion (version: string, service: string = SERVICES.stream): Promise<void> {
    for (let nth = 0; nth < UPSTREAMS_PER_VERSION; nth++) await this.#startUpstream(version, service)
  }

  /** Ends upstreams of a version at once, and removes their entries. */
  removeVersion (version: string, count = UPSTREAMS_PER_VERSION): void {
    for (const upstream of [...this.#upstreams.values()].filter(({ properties }) => properties.version === version).slice(0, count)) {
      this.#upstreams.delete(upstream.properties.id)
      upstream.crash()
      removeUpstream(this.fleet.store, upstream.properties.id)
    }
  }

  /** Lets each upstream of a version crash and start again after `restartMs` under its id and address with another version. */
  async replaceVersion (from: string, to: string, restartMs: Millis): Promise<void> {
    for (const upstream of [...this.#upstreams.values()].filter(({ properties }) => properties.version === from)) {
      const { properties: { id, service }, port } = upstream
      upstream.crash()
      if (restartMs > 0) await pause(restartMs)
      await this.#startUpstream(to, service, { id, port })
    }
  }

  /** Kills gateways at the same moment. */
  async killGateways (gateways: readonly number[]): Promise<void> {
    await Promise.all(gateways.map(async gateway => { await this.fleet.gateways[gateway]?.kill() }))
  }

  startGateways (gateways: readonly number[]): void {
    for (const gateway of gateways) this.#startGateway(gateway)
  }

  startStreams (): void {
    this.#timers.push(systemClock.every(STREAM_INTERVAL_MS, () => { this.#begin() }))
  }

  stopStreams (): void {
    this.#timers.shift()?.close()
  }

  /** Crashes an upstream of each version in turn; one of the same version replaces it. */
  startCrashes (): void {
    let turn = 0
    this.#timers.push(systemClock.every(CRASH_INTERVAL_MS, () => {
      const version = VERSIONS[turn % VERSIONS.length]
      turn += 1
      const upstream = [...this.#upstreams.values()].find(({ properties }) => properties.version === version)
      if (upstream !== undefined) this.#crash(upstream)
    }))
  }

  /** Kills one gateway in turn, and now and then two at the same moment; they start again. */
  startKills (): void {
    let turn = 0
    this.#timers.push(systemClock.every(KILL_INTERVAL_MS, () => {
      for (let nth = 0; nth <= turn % 2; nth++) this.#killGateway((turn + nth) % GATEWAYS).catch(err => { throw err })
      turn += 1
    }))
  }

  /** Cuts off the peer port of a gateway in turn: it hears nothing of what the others know. */
  startCuts (): void {
    let turn = 0
    this.#timers.push(systemClock.every(CUT_INTERVAL_MS, () => {
      this.fleet.peerLinks[turn % GATEWAYS]?.injectFault(systemClock, 'cut', CUT_MS)
      turn += 1
    }))
  }

  async close (): Promise<void> {
    this.#isClosed = true
    for (const timer of this.#timers) timer.close()
    for (const caller of this.#callers) caller.close()
    await this.fleet.close()
    for (const upstream of this.#upstreams.values()) upstream.close()
  }

  /** @param earlier - the process under whose id and address it starts; undefined for new ones */
  async #startUpstream (version: string, service: string, earlier?: { readonly id: string, readonly port: number }): Promise<void> {
    if (this.#isClosed) return
    this.#count += 1
    const id = earlier?.id ?? `u${this.#count}`
    const upstream = new UpstreamStandin(systemClock, { id, service, zone: this.#count % 2 === 0 ? 'north' : 'south', slots: SLOTS, version, namesVersion: true, eventIntervalMs: EVENT_INTERVAL_MS }, emptyObservations(), () => {})
    this.#upstreams.set(id, upstream)
    await upstream.start(earlier?.port)
    const { zone, slots } = upstream.properties
    putUpstream(this.fleet.store, { id: asId(id), service: asId(service), zone: asId(zone), version, address: `127.0.0.1:${upstream.port}`, slots, isDraining: false, startedAt: this.#count }, 0)
  }

  #crash (upstream: UpstreamStandin): void {
    const { id, version = '', service } = upstream.properties
    this.#upstreams.delete(id)
    upstream.crash()
    this.#timers.push(
      systemClock.after(ENTRY_EXPIRY_MS, () => { removeUpstream(this.fleet.store, id) }),
      systemClock.after(CRASH_DOWNTIME_MS, () => { this.#startUpstream(version, service).catch(err => { throw err }) })
    )
  }

  #startGateway (gateway: number): void {
    this.#startedAt[gateway] = systemClock.now()
    this.fleet.gateways[gateway]?.start()
  }

  async #killGateway (gateway: number): Promise<void> {
    await this.fleet.gateways[gateway]?.kill()
    await pause(KILL_DOWNTIME_MS)
    if (!this.#isClosed) this.#startGateway(gateway)
  }

  #begin (): void {
    const stream: CallerStream = { origin: undefined, versions: new Set(), lastEventId: 0, beganAt: systemClock.now(), takenUpAt: undefined, isCounted: false, hasGoneOn: false, isComplete: false }
    this.streams.push(stream)
    this.#send(stream, this.streams.length, 1)
  }

  /** Sends a try of a stream; the callers reach gateways that run, as a load balancer sends them. */
  #send (stream: CallerStream, turn: number, tries: number): void {
    const running = this.fleet.gateways.filter(({ isAlive, index }) => isAlive && systemClock.now() - (this.#startedAt[index] ?? 0) > COME_BACK_MS)
    const preferred = stream.origin !== undefined && turn % PREFERENCE.of < PREFERENCE.share ? running.find(({ index }) => index === this.preferredGateway) : undefined
    const gateway = (preferred ?? running[turn % running.length])?.index
    if (this.#isClosed) return
    if (gateway === undefined) return this.#tryAgain(stream, turn, tries)
    this.#count += 1
    if (stream.origin !== undefined) this.#recordTakenUp(stream, gateway)
    const resumes = stream.origin === undefined ? {} : { resumes: { attempt: stream.origin, lastEventId: stream.lastEventId } }
    const sent = createRequest(systemClock, this.operator, { gateway, kind: 'stream', attempt: `a${this.#count}`, ...resumes })
    if (sent === undefined) return
    this.#callers[gateway]?.send(sent, {
      isNewConnection: true,
      onEnd: () => {
        this.#recordEvents(stream, sent)
        if (!stream.isComplete) this.#tryAgain(stream, turn, tries)
      }
    })
  }

  #tryAgain (stream: CallerStream, turn: number, tries: number): void {
    const mayTry = this.streamLifetimeMs === undefined ? tries < MAX_TRIES : systemClock.now() - stream.beganAt < this.streamLifetimeMs
    const pauseMs = this.streamLifetimeMs === undefined ? COME_BACK_MS : PERSISTENT_PAUSE_MS
    if (mayTry) this.#timers.push(systemClock.after(pauseMs, () => { this.#send(stream, turn + tries, tries + 1) }))
  }

  #recordTakenUp (stream: CallerStream, gateway: number): void {
    const now = systemClock.now()
    const serving = [...this.#upstreams.values()].filter(({ properties }) => stream.versions.has(properties.version ?? '')).length
    if (stream.takenUpAt === undefined) stream.isCounted = now - (this.#startedAt[gateway] ?? 0) > CONTACT_MS && serving >= 2
    stream.takenUpAt ??= now
  }

  #recordEvents (stream: CallerStream, { attempt, end }: SentRequest): void {
    if (end === undefined || end.kind === 'left') return
    const events = end.status === 200 ? [...end.body.matchAll(EVENT)] : []
    for (const [, id, version] of events) {
      stream.lastEventId = Number(id)
      stream.versions.add(version ?? '')
    }
    if (events.length === 0) return
    if (stream.origin !== undefined) stream.hasGoneOn = true
    stream.origin ??= attempt
    stream.isComplete = stream.lastEventId >= EVENTS_PER_STREAM
  }
}

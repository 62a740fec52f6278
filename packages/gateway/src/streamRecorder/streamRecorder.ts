/** Remembers, beside an upstream, at which software versions streams have begun, so that this survives the loss of all gateways. */
import { assertNever, type Clock, createLog, type Millis, type Service, type Timer } from '@fuchsiaworks/kernel'
import { isRecorderActive, RecordedStreams, type StreamHash, type StringHash, type VersionHash } from '@fuchsiaworks/policy'
import type { StreamRecorderSettings } from '@fuchsiaworks/settings'
import { GatewayConnection } from './gatewayConnection.js'
import { type KnownGateway, KnownGateways } from './knownGateways.js'
import { type FleetMessage, type GatewayMessage, RECORDER_FLEET_PATH, RECORDS_PATH } from './streamRecorderTypes.js'

/** Interval at which it is checked which gateways to dial; adds half of it to the time after which a restarted gateway is reached. */
const DIAL_CHECK_MS: Millis = 100

/** Interval at which old streams and gateways are forgotten. */
const EXPIRY_INTERVAL_MS: Millis = 1000

/** Interval at which an inactive recorder asks a gateway for the size of the fleet, and that until it has been told for the first time. */
const FLEET_REQUEST_MS = { inactive: 10_000, unknown: 300 } as const

/** Interval of the log line with counts. */
const REPORT_INTERVAL_MS: Millis = 60_000

const log = createLog('recorder')

/** Whether the recorder takes records; unknown until a gateway has told the size of the fleet. */
type Activity = 'unknown' | 'inactive' | 'active'

/** One stream recorder. */
export class StreamRecorder implements Service {
  readonly #clock: Clock
  readonly #host: string
  readonly #hostHash: number
  readonly #gateways: KnownGateways
  readonly #timers: Timer[] = []
  #streams: RecordedStreams
  #activity: Activity = 'unknown'
  #fleetRequestedAt: Millis = -Infinity
  #counts = { records: 0, lookups: 0, found: 0 }
  #isClosed = false

  /**
   * @param clock - source of time
   * @param settings - settings of this host
   * @param hash - hash shared by the fleet
   */
  constructor (clock: Clock, { host, seeds }: Pick<StreamRecorderSettings, 'host' | 'seeds'>, hash: StringHash) {
    this.#clock = clock
    this.#host = host
    this.#hostHash = hash(host)
    this.#gateways = new KnownGateways(seeds, clock.now())
    this.#streams = new RecordedStreams(clock.now())
  }

  start (): void {
    this.#timers.push(
      this.#clock.every(DIAL_CHECK_MS, () => { this.#dialDue() }),
      this.#clock.every(EXPIRY_INTERVAL_MS, () => {
        this.#streams.expire(this.#clock.now())
        this.#gateways.expire(this.#clock.now())
      }),
      this.#clock.every(REPORT_INTERVAL_MS, () => { this.#report() })
    )
    this.#dialDue()
  }

  close (): void {
    this.#isClosed = true
    for (const timer of this.#timers) timer.close()
    this.#closeConnections()
  }

  /** @returns the version of a recent stream; undefined when it is not known here */
  versionOfStream (stream: StreamHash): VersionHash | undefined {
    return this.#streams.versionOfStream(stream)
  }

  #dialDue (): void {
    const now = this.#clock.now()
    if (this.#activity === 'active') {
      for (const gateway of this.#gateways.due(now)) this.#dial(gateway, RECORDS_PATH)
      return
    }
    if (now - this.#fleetRequestedAt < FLEET_REQUEST_MS[this.#activity]) return
    const gateway = this.#gateways.nextDue(now)
    if (gateway === undefined) return
    this.#fleetRequestedAt = now
    this.#dial(gateway, RECORDER_FLEET_PATH)
  }

  #dial (gateway: KnownGateway, path: string): void {
    const connection = new GatewayConnection(this.#clock, gateway.address, path, {
      onMessage: message => { this.#receive(gateway, connection, message) },
      onEnd: end => {
        if (gateway.connection !== connection) return
        if (gateway.isConnected && path === RECORDS_PATH) log.info('disconnected from gateway', { address: gateway.address, end })
        this.#gateways.recordEnd(gateway, end, this.#clock.now())
      }
    })
    gateway.connection = connection
  }

  #receive (gateway: KnownGateway, connection: GatewayConnection, message: GatewayMessage): void {
    if (gateway.connection !== connection || this.#isClosed) return
    if (!gateway.isConnected && this.#activity === 'active') log.info('connected to gateway', { address: gateway.address })
    gateway.isConnected = true
    switch (message.kind) {
      case 'fleet': return this.#applyFleet(gateway, message)
      case 'records':
        this.#counts.records += message.reports.reduce((sum, { streams }) => sum + streams.length, 0)
        for (const report of message.reports) this.#streams.applyReport(report, this.#clock.now())
        return
      case 'ask': {
        const version = this.versionOfStream(message.stream)
        this.#counts.lookups += 1
        if (version !== undefined) this.#counts.found += 1
        return connection.answer({ lookup: message.lookup, version, host: this.#host })
      }
      default: assertNever(message)
    }
  }

  #applyFleet (gateway: KnownGateway, { upstreams, longestStreamMs, addresses }: FleetMessage): void {
    this.#gateways.see(addresses, this.#clock.now())
    gateway.upstreams = upstreams
    if (longestStreamMs !== undefined) this.#streams.longestStreamMs = longestStreamMs
    // A gateway with an incomplete list counts fewer upstreams: then rather too many recorders are active than none.
    const told = this.#gateways.all.flatMap(known => known.upstreams ?? [])
    if (told.length > 0) this.#setActive(isRecorderActive(this.#hostHash, Math.min(...told), this.#activity === 'active'), Math.min(...told))
  }

  #setActive (isActive: boolean, upstreams: number): void {
    const activity = isActive ? 'active' : 'inactive'
    if (activity === this.#activity) return
    log.info(`stream recorder is ${activity}`, { upstreams, before: this.#activity })
    this.#activity = activity
    const { longestStreamMs } = this.#streams
    this.#streams = new RecordedStreams(this.#clock.now())
    this.#streams.longestStreamMs = longestStreamMs
    this.#closeConnections()
    if (isActive) this.#dialDue()
  }

  /** Closes all connections; gateways may be dialled again at once. */
  #closeConnections (): void {
    for (const gateway of this.#gateways.all) {
      const { connection } = gateway
      if (connection === undefined) continue
      this.#gateways.recordEnd(gateway, 'lost', this.#clock.now())
      gateway.dialAt = this.#clock.now()
      connection.close()
    }
  }

  #report (): void {
    const connected = this.#gateways.all.filter(({ isConnected }) => isConnected).length
    log.info('recording', { activity: this.#activity, gateways: connected, ...this.#counts })
    this.#counts = { records: 0, lookups: 0, found: 0 }
  }
}

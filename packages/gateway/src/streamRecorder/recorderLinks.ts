/** A gateway's connections to stream recorders: sends them its stream records and asks them for streams that it does not know. */
import { type Clock, createLog, type Millis, type Service, type Timer, toError } from '@fuchsiaworks/kernel'
import { groupByVersion, type StreamHash, type StreamVersionReport, type VersionHash } from '@fuchsiaworks/policy'
import type { WebSocket } from 'ws'
import { type LookupResult, RecorderLookups } from './recorderLookups.js'
import { decodeRecorderAnswer, encodeGatewayMessage } from './streamRecorderCodec.js'
import { ENOUGH_RECORDERS_CODE, type FleetMessage } from './streamRecorderTypes.js'

/** Recorders that a gateway accepts: twice those that are active on average. */
const MAX_RECORDERS = 12

/** Minimum time between two messages with records: less than an upstream takes to its first event, as a stream that breaks before its record is sent is lost. */
const BATCH_MS: Millis = 10

/** Recorders that get a record. With all of them, the messages would take three times as much time of processor; each lookup asks all. */
const COPIES = 2

/** Minimum time between two messages on the fleet for each address in them, which bounds their bytes in a large fleet. */
const FLEET_INTERVAL_PER_ADDRESS_MS: Millis = 20

/** Interval at which links are checked and changes of the fleet are sent. */
const CHECK_INTERVAL_MS: Millis = 1000

/** Time without a message or ping after which a link is closed; recorders ping every 1.5 s. */
const SILENCE_MS: Millis = 4000

/** Send buffer of a link from which it is closed; the recorder gets the recent records when it connects again. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** Time after the start of a gateway within which recorders that run connect to it. */
const CONTACT_MS: Millis = 2000

const log = createLog('recorders')

/** What a gateway tells recorders, and where it counts. */
export interface RecorderSources {
  /** Whether the deployment has recorders, so that a lookup may wait for the first one to connect. */
  readonly areExpected: boolean
  /** Returns what recorders are told of the fleet. */
  readonly fleet: () => Omit<FleetMessage, 'kind'>
  /** Returns the recent streams of this gateway. */
  readonly recent: () => readonly StreamVersionReport[]
  /** Called with the number of records in a message to one recorder. */
  readonly onSent: (records: number) => void
  /** Called when a lookup has ended, with the time that it took. */
  readonly onLookup: (stream: StreamHash, result: LookupResult, ms: Millis) => void
}

interface Link {
  readonly socket: WebSocket
  lastReceivedAt: Millis
}

/** Connections of one gateway. */
export class RecorderLinks implements Service {
  readonly #clock: Clock
  readonly #sources: RecorderSources
  readonly #startedAt: Millis
  readonly #links = new Set<Link>()
  readonly #lookups: RecorderLookups<Link>
  /** Link after which the next batch is sent, so that all recorders get as many. */
  #turn = 0
  /** Records that have not been sent. */
  #pending = new Map<StreamHash, VersionHash>()
  #batchTimer: Timer | undefined
  #sentAt: Millis = -Infinity
  #checkTimer: Timer | undefined
  #checkedAt: Millis
  #fleetSentAt: Millis = -Infinity
  /** Last message on the fleet that was sent to all, to send changes only. */
  #sentFleet: Buffer = Buffer.alloc(0)
  #hasRejected = false

  /**
   * @param clock - source of time
   * @param sources - what to tell recorders
   */
  constructor (clock: Clock, sources: RecorderSources) {
    this.#clock = clock
    this.#sources = sources
    this.#startedAt = clock.now()
    this.#checkedAt = clock.now()
    this.#lookups = new RecorderLookups(clock, ({ socket }, lookup, stream) => { socket.send(encodeGatewayMessage({ kind: 'ask', lookup, stream })) }, () => sources.areExpected && clock.now() - this.#startedAt < CONTACT_MS)
  }

  /** Recorders that are connected. */
  get size (): number {
    return this.#links.size
  }

  start (): void {
    this.#checkTimer = this.#clock.every(CHECK_INTERVAL_MS, () => { this.#check() })
  }

  /** Accepts a recorder. */
  accept (socket: WebSocket): void {
    socket.on('error', err => { log.debug('connection of a stream recorder failed', { reason: err.message }) })
    if (this.#links.size >= MAX_RECORDERS) {
      socket.close(ENOUGH_RECORDERS_CODE)
      return
    }
    const link: Link = { socket, lastReceivedAt: this.#clock.now() }
    this.#links.add(link)
    socket.on('message', data => { this.#receive(link, data as Buffer) })
    socket.on('ping', () => { link.lastReceivedAt = this.#clock.now() })
    socket.on('close', () => {
      this.#links.delete(link)
      this.#lookups.removeLink(link)
      log.info('stream recorder disconnected', { recorders: this.#links.size })
    })
    socket.send(this.#encodeFleet())
    this.#sendRecords([link], this.#sources.recent())
    this.#lookups.addLink(link)
    log.info('stream recorder connected', { recorders: this.#links.size })
  }

  /** Tells an inactive recorder of the fleet and closes its connection. */
  acceptFleetRequest (socket: WebSocket): void {
    socket.on('error', err => { log.debug('connection of a stream recorder failed', { reason: err.message }) })
    socket.send(this.#encodeFleet())
    socket.close()
  }

  /**
   * Sends the version of a stream to some recorders, at once or with the next batch. A stream that was sent to another version before is recorded at all of them at once: one that
   * still names the earlier version when this gateway has ended would let the stream go on there.
   */
  record (stream: StreamHash, version: VersionHash, earlier: VersionHash | undefined): void {
    if (this.#links.size === 0) return
    if (earlier !== undefined && earlier !== version) {
      this.#pending.delete(stream)
      return this.#sendRecords(this.#links, [{ version, streams: [stream] }])
    }
    this.#pending.set(stream, version)
    if (this.#batchTimer !== undefined) return
    // Without a timer, the process does not wake up once more for each stream.
    const waitMs = this.#sentAt + BATCH_MS - this.#clock.now()
    if (waitMs <= 0) this.#flush()
    else this.#batchTimer = this.#clock.after(waitMs, () => { this.#flush() })
  }

  /** Asks recorders for the version of a stream. */
  async ask (stream: StreamHash): Promise<LookupResult> {
    const askedAt = this.#clock.now()
    const result = await this.#lookups.ask(stream, this.#links)
    this.#sources.onLookup(stream, result, this.#clock.now() - askedAt)
    return result
  }

  close (): void {
    this.#checkTimer?.close()
    this.#batchTimer?.close()
    this.#lookups.close()
    for (const { socket } of this.#links) socket.terminate()
  }

  #flush (): void {
    this.#batchTimer?.close()
    this.#batchTimer = undefined
    this.#sentAt = this.#clock.now()
    const reports = groupByVersion(this.#pending)
    this.#pending = new Map()
    const links = [...this.#links]
    const chosen = Array.from({ length: Math.min(COPIES, links.length) }, (_, nth) => links[(this.#turn + nth) % links.length]).filter(link => link !== undefined)
    this.#turn = (this.#turn + COPIES) % Math.max(1, links.length)
    this.#sendRecords(chosen, reports)
  }

  #sendRecords (links: Iterable<Link>, reports: readonly StreamVersionReport[]): void {
    const count = reports.reduce((sum, { streams }) => sum + streams.length, 0)
    if (count === 0) return
    const bytes = encodeGatewayMessage({ kind: 'records', reports })
    for (const { socket } of links) {
      if (socket.bufferedAmount > MAX_BUFFERED_BYTES) socket.terminate()
      else {
        socket.send(bytes)
        this.#sources.onSent(count)
      }
    }
  }

  #receive (link: Link, bytes: Buffer): void {
    link.lastReceivedAt = this.#clock.now()
    try {
      this.#lookups.receive(link, decodeRecorderAnswer(bytes))
    } catch (err) {
      // A recorder that connects again and again would repeat the line.
      log[this.#hasRejected ? 'debug' : 'warn']('message of a stream recorder rejected', { reason: toError(err).message })
      this.#hasRejected = true
      link.socket.terminate()
    }
  }

  #check (): void {
    const now = this.#clock.now()
    const sinceCheckMs = now - this.#checkedAt
    this.#checkedAt = now
    for (const link of this.#links) {
      // After a pause of this process, messages that have arrived meanwhile are read only after its timers have run.
      if (sinceCheckMs > 2 * CHECK_INTERVAL_MS) link.lastReceivedAt = now
      if (now - link.lastReceivedAt <= SILENCE_MS) continue
      log.warn('stream recorder is silent', { silenceMs: Math.round(now - link.lastReceivedAt) })
      link.socket.terminate()
    }
    if (this.#links.size > 0) this.#sendFleet(now)
  }

  #sendFleet (now: Millis): void {
    const fleet = this.#sources.fleet()
    if (now - this.#fleetSentAt < fleet.addresses.length * FLEET_INTERVAL_PER_ADDRESS_MS) return
    const bytes = encodeGatewayMessage({ kind: 'fleet', ...fleet })
    if (bytes.equals(this.#sentFleet)) return
    this.#fleetSentAt = now
    this.#sentFleet = bytes
    for (const { socket } of this.#links) socket.send(bytes)
  }

  #encodeFleet (): Buffer {
    return encodeGatewayMessage({ kind: 'fleet', ...this.#sources.fleet() })
  }
}

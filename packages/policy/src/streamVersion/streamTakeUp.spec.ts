import { describe, it } from 'node:test'
import { asId, type Millis, type ServiceId, type UpstreamId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { loadStringHash } from '../keys/rendezvous.js'
import { decideByAnswers, decideStreamVersion, knownForMs, type ListKnowledge } from './streamVersion.js'
import { StreamVersionDb } from './streamVersionDb.js'
import type { SoftwareVersion, StreamRoute, StreamVersionDecision, VersionedUpstream } from './streamVersionTypes.js'

const hash = await loadStringHash()

const SERVICE = asId<ServiceId>('engine')
const ROUTE: StreamRoute = { targets: [SERVICE], origins: [SERVICE] }
const LONGEST_STREAM_MS: Millis = 5000
const GATEWAYS = 4

/** Largest age of a list by which a gateway begins streams. */
const MAX_CUT_MS: Millis = 4000

const UPSTREAMS = ['v1', 'v2', 'v3'].map((version, nth): VersionedUpstream =>
  ({ id: asId<UpstreamId>(`u${nth}`), service: SERVICE, version: asId<SoftwareVersion>(version), startedAt: 1 }))

/** Versions that upstreams of the fleet have at present, by number. */
type Listed = ReadonlySet<number>

/** A gateway with its list of upstreams, which is not updated while it is cut off; then it learns which of them have left meanwhile. */
class ModelGateway {
  readonly db: StreamVersionDb
  #listed: Listed
  #completeSince: Millis
  #cutSince: Millis | undefined
  /** Versions that were listed while it was cut off. */
  #unseen = new Set<number>()

  constructor (listed: Listed, startedAt: Millis) {
    this.#listed = listed
    this.#completeSince = startedAt
    this.db = new StreamVersionDb(hash, startedAt)
    this.db.longestStreamMs = LONGEST_STREAM_MS
    this.applyList(listed, startedAt)
  }

  get listed (): Listed {
    return this.#listed
  }

  list (now: Millis): ListKnowledge {
    return { ageMs: this.#cutSince === undefined ? 0 : now - this.#cutSince, completeForMs: now - this.#completeSince, isConfirmed: this.#cutSince === undefined }
  }

  setCut (isCut: boolean, listed: Listed, now: Millis): void {
    this.#cutSince = isCut ? this.#cutSince ?? now : undefined
    this.applyList(listed, now)
  }

  applyList (listed: Listed, now: Millis): void {
    for (const version of listed) if (!this.#listed.has(version)) this.#unseen.add(version)
    if (this.#cutSince !== undefined && now - this.#cutSince <= MAX_CUT_MS) return
    this.#cutSince = undefined
    if ([...this.#unseen].some(version => !listed.has(version))) this.#completeSince = now
    this.#unseen = new Set()
    this.#listed = listed
    this.db.setUpstreams(UPSTREAMS.filter((_, nth) => listed.has(nth)), now)
    this.db.expire(now)
  }
}

const step = fc.record({
  afterMs: fc.oneof(fc.integer({ min: 0, max: 400 }), fc.integer({ min: 0, max: 3000 })),
  gateway: fc.nat(GATEWAYS - 1),
  version: fc.nat(UPSTREAMS.length - 1),
  stream: fc.nat(50),
  asked: fc.subarray([0, 1, 2, 3]),
  isTold: fc.boolean(),
  what: fc.oneof(
    { weight: 10, arbitrary: fc.constantFrom('begin' as const, 'take-up' as const) },
    { weight: 3, arbitrary: fc.constantFrom('list' as const, 'unlist' as const) },
    { weight: 3, arbitrary: fc.constantFrom('restart' as const, 'restart-all' as const, 'cut' as const, 'reconnect' as const) }
  )
})

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/** A fleet whose upstreams change, and the streams that it began. */
class ModelFleet {
  readonly #streams: Array<{ readonly id: number, readonly version: number, readonly beganAt: Millis }> = []
  #now: Millis = 0
  #listed: Listed = new Set([0])
  readonly #gateways = Array.from({ length: GATEWAYS }, () => new ModelGateway(this.#listed, 0))

  /** @returns false when a stream was to go on at another version than began it */
  play ({ afterMs, gateway, version, stream, asked, isTold, what }: Step): boolean {
    this.#now += afterMs
    const chosen = this.#gateways[gateway]
    if (chosen === undefined) throw new Error('no such gateway')
    for (const each of this.#gateways) each.applyList(this.#listed, this.#now)
    switch (what) {
      case 'begin':
        this.#begin(chosen, version, isTold)
        return true
      case 'take-up':
        return this.#takeUp(chosen, stream, asked)
      case 'list':
      case 'unlist':
        this.#listed = new Set([...[...this.#listed].filter(other => other !== version), ...what === 'list' ? [version] : []])
        for (const each of this.#gateways) each.applyList(this.#listed, this.#now)
        return true
      case 'restart':
        this.#gateways[gateway] = new ModelGateway(this.#listed, this.#now)
        return true
      case 'restart-all':
        this.#gateways.splice(0, GATEWAYS, ...this.#gateways.map(() => new ModelGateway(this.#listed, this.#now)))
        return true
      case 'cut':
      case 'reconnect':
        chosen.setCut(what === 'cut', this.#listed, this.#now)
        return true
    }
  }

  #begin ({ db, listed }: ModelGateway, nth: number, isTold: boolean): void {
    const version = [...listed][nth % listed.size]
    const upstream = UPSTREAMS[version ?? -1]
    if (version === undefined || upstream === undefined) return
    const id = this.#streams.length
    this.#streams.push({ id, version, beganAt: this.#now })
    db.recordSend(id, db.versionOf(upstream), this.#now)
    if (isTold) for (const report of db.takeUnsent()) for (const peer of this.#gateways) peer.db.applyReport(report, this.#now)
  }

  #takeUp (gateway: ModelGateway, nth: number, asked: readonly number[]): boolean {
    const open = this.#streams.filter(({ beganAt }) => this.#now - beganAt <= LONGEST_STREAM_MS)
    const stream = open[nth % open.length]
    const first = UPSTREAMS[stream?.version ?? -1]
    if (stream === undefined || first === undefined) return true
    const decision = this.#decide(gateway, stream.id, asked)
    if (decision.kind === 'gone') return !gateway.listed.has(stream.version)
    return decision.kind === 'unknown' || (decision.kind === 'only' && decision.version === gateway.db.versionOf(first))
  }

  #decide (gateway: ModelGateway, stream: number, asked: readonly number[]): StreamVersionDecision {
    const list = gateway.list(this.#now)
    const known = decideStreamVersion(gateway.db, ROUTE, stream, list)
    if (known.kind !== 'unknown') return known
    const answers = this.#gateways.filter((peer, nth) => peer !== gateway && asked.includes(nth)).map(peer =>
      ({ version: peer.db.versionOfStream(stream), candidates: peer.db.candidates(SERVICE), knownForMs: knownForMs(peer.list(this.#now)) }))
    return decideByAnswers(gateway.db, ROUTE, list, answers)
  }
}

/** Guards against a gateway that takes the versions it knows for all that there were, after any restarts, cuts and changes of the list. */
describe('a stream that is taken up while versions come and go and gateways restart, also all at once', () => {
  it('does not go on at a gateway that started after its version had left the list, although one that was cut off began it there', () => {
    const idle: Step = { afterMs: 100, gateway: 0, version: 0, stream: 0, asked: [], isTold: false, what: 'cut' }
    const fleet = new ModelFleet()
    const steps: Step[] = [
      { ...idle, what: 'list', version: 1 }, { ...idle, what: 'cut' }, { ...idle, what: 'unlist' }, { ...idle, what: 'restart', gateway: 1 },
      { ...idle, what: 'begin' }, { ...idle, what: 'restart' }, { ...idle, what: 'take-up', gateway: 1, afterMs: LONGEST_STREAM_MS - 100 }
    ]
    expect(steps.map(each => fleet.play(each))).toEqual(steps.map(() => true))
  })

  it('never goes on at another version than began it', () => {
    fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 60 }), steps => {
      const fleet = new ModelFleet()
      expect(steps.every(each => fleet.play(each))).toEqual(true)
    }), { numRuns: 3000 })
  })
})

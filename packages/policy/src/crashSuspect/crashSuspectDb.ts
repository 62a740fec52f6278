/**
 * Tracks which requests an upstream had not begun, or had only just begun, to respond to when it crashed, and which began soundly. The quarantine policy of the
 * routers is more precise, because agents report crashes to routers; a gateway only sees broken connections.
 */
import { getOrMake, type Millis } from '@fuchsiaworks/kernel'
import { accuse } from './accuse.js'
import type { Accusation, CrashRecord, CrashReport, CrashReports, RecognizedCrash, RequestTraits, SoundReport, Trait, UpstreamProcess } from './crashSuspectTypes.js'

/** Milliseconds after a broken connection within which a failed connection attempt means that the upstream crashed. */
const UNREACHABLE_WITHIN_MS: Millis = 2000

/** Milliseconds after a broken connection within which removal from the list of upstreams without draining means a crash; longer, because a list entry expires only after several missed heartbeats. */
const UNLISTED_WITHIN_MS: Millis = 6000

/** Time after the beginning of a response in which its request may crash the upstream; a request whose response lasts longer is sound. */
const SOUND_AFTER_MS: Millis = 1000

/** Time for which a crash is evidence. */
const CRASH_RETENTION_MS: Millis = 300_000

/** Time for which a crash is evidence against a request whose parts are sound. */
const REQUEST_RETENTION_MS: Millis = 60_000

/** Maximum numbers of crashes, of candidates of one crash and of parts known to be sound; the oldest are dropped first. */
const MAX_CRASHES = 64
const MAX_CANDIDATES = 64
const MAX_SOUND_TRAITS = 4000

/** Interval between two trials of a suspected part, in which the outcome of the first one shows. */
const TRIAL_INTERVAL_MS: Millis = 3000

/** Identifies the end of a process of an upstream, the same at all gateways. */
const crashOf = ({ id, startedAt }: UpstreamProcess): string => `${id} ${startedAt ?? ''}`

interface BrokenConnection {
  /** Undefined when the response had begun; the beginnings of responses are recorded by themselves. */
  readonly candidate: RequestTraits | undefined
  readonly at: Millis
}

interface BegunResponse {
  readonly traits: RequestTraits
  readonly at: Millis
}

interface UnsentReport extends Omit<CrashReport, 'ageMs'> {
  readonly at: Millis
}

/** Crashes and sound responses as known to one gateway. */
export class CrashSuspectDb {
  /** Connections that broke, by the crash that they may be due to. */
  readonly #brokenConnections = new Map<string, BrokenConnection[]>()
  /** Responses that began in the last second, by the crash that would show that they are not sound. */
  readonly #begunResponses = new Map<string, BegunResponse[]>()
  readonly #crashes = new Map<string, CrashRecord>()
  readonly #lastSoundAt = new Map<Trait, Millis>()
  readonly #trialsAt = new Map<Trait, Millis>()
  /** Last crash of each trait of a candidate; undefined after a change of the candidates. */
  #lastCrashAt: ReadonlyMap<Trait, Millis> | undefined
  /** What follows from crashes and sound responses; undefined after a change of either. */
  #accusations: ReadonlyMap<Trait, Accusation> | undefined
  #unsentReports: UnsentReport[] = []
  readonly #unsentSound = new Map<Trait, Millis>()
  /** Times of crashes that peers have reported, by candidate part that this gateway has seen soundly since. */
  readonly #soundSinceCrash = new Map<Trait, Millis>()

  /** Requests and parts that crash upstreams. */
  get accusations (): ReadonlyMap<Trait, Accusation> {
    this.#accusations ??= accuse(this.#crashes, trait => this.#lastSoundAt.get(trait))
    return this.#accusations
  }

  /** True while nothing is known against any request. */
  get isEmpty (): boolean {
    return this.#crashes.size === 0
  }

  /**
   * Records that the connection to an upstream broke while it ran a request.
   *
   * @param candidate - the request, unless its response had begun
   */
  recordBrokenConnection (upstream: UpstreamProcess, candidate: RequestTraits | undefined, now: Millis): void {
    const crash = crashOf(upstream)
    const record = this.#crashes.get(crash)
    if (record !== undefined) return candidate === undefined ? undefined : this.#addOwn(crash, record, [candidate])
    getOrMake(this.#brokenConnections, crash, () => []).push({ candidate, at: now })
  }

  /** Records that an upstream began to respond to a request. */
  recordBegin (upstream: UpstreamProcess, traits: RequestTraits, now: Millis): void {
    getOrMake(this.#begunResponses, crashOf(upstream), () => []).push({ traits, at: now })
  }

  /**
   * Records that an upstream accepts no connections; connections that broke shortly before then count as its crash.
   *
   * @returns the crash; undefined when no connection had broken
   */
  recordUnreachable (upstream: UpstreamProcess, now: Millis): RecognizedCrash | undefined {
    const crash = crashOf(upstream)
    const recognized = this.#recognize(crash, UNREACHABLE_WITHIN_MS, now)
    if (recognized === undefined && !this.#crashes.has(crash)) this.#unsentReports.push({ crash, at: now, isConfirmed: false, candidates: [] })
    return recognized
  }

  /**
   * Records that an upstream was removed from the list of upstreams without draining; connections that broke shortly before then count as its crash.
   *
   * @returns the crash; undefined when no connection had broken
   */
  recordUnlisted (upstream: UpstreamProcess, now: Millis): RecognizedCrash | undefined {
    return this.#recognize(crashOf(upstream), UNLISTED_WITHIN_MS, now)
  }

  /**
   * Applies a crash report of a peer gateway. Connections of this gateway that broke with the upstream count as well: after the first gateway has
   * found it unreachable, all of them avoid it, so that this one may not connect in time.
   *
   * @returns the crash, when connections of this gateway had broken
   */
  applyReport ({ crash, ageMs, isConfirmed, candidates }: CrashReport, now: Millis): RecognizedCrash | undefined {
    const recognized = this.#recognize(crash, UNLISTED_WITHIN_MS, now)
    if (ageMs > CRASH_RETENTION_MS || (!isConfirmed && recognized === undefined)) return recognized
    const record = this.#openRecord(crash, now - ageMs)
    this.#addCandidates(record, candidates)
    this.#recordPeerCandidates(record.at, candidates)
    this.#addOwn(crash, record, this.#takeJustBegun(crash, record.at))
    return recognized
  }

  /** Applies the report of a peer gateway that a request began soundly. */
  applySound ({ trait, ageMs }: SoundReport, now: Millis): void {
    const at = now - ageMs
    if (at > (this.#soundSinceCrash.get(trait) ?? Infinity)) this.#soundSinceCrash.delete(trait)
    this.#setSound(trait, at)
  }

  /** Settles which responses were sound, and removes what is old. */
  settle (now: Millis): void {
    for (const [crash, broken] of this.#brokenConnections) {
      const recent = broken.filter(({ at }) => now - at <= UNLISTED_WITHIN_MS)
      if (recent.length > 0) this.#brokenConnections.set(crash, recent)
      else this.#brokenConnections.delete(crash)
    }
    for (const [crash, begun] of this.#begunResponses) this.#settleBegun(crash, begun, now)
    for (const [trait, at] of this.#trialsAt) if (now - at > TRIAL_INTERVAL_MS) this.#trialsAt.delete(trait)
    this.#reportSoundSinceCrash()
    if (this.#crashes.size > 0) this.#prune(now)
  }

  /** Takes the turn of a trial of a suspected part; false while the outcome of another one is awaited. */
  tryStartTrial (trait: Trait, now: Millis): boolean {
    if (now - (this.#trialsAt.get(trait) ?? -Infinity) < TRIAL_INTERVAL_MS) return false
    this.#trialsAt.set(trait, now)
    return true
  }

  /** @returns all that is known, to be sent to a gateway that has just become reachable */
  reports (now: Millis): CrashReports {
    const sound = [...this.#lastCrashes().keys()].flatMap(trait => {
      const at = this.#lastSoundAt.get(trait)
      return at === undefined ? [] : [{ trait, ageMs: now - at }]
    })
    const crashes = [...this.#crashes].map(([crash, { at, candidates }]) => ({ crash, ageMs: now - at, isConfirmed: true, candidates: [...candidates.values()] }))
    return { crashes, sound }
  }

  /** @returns reports of this gateway since the last call, to be sent to peer gateways */
  takeUnsentReports (now: Millis): CrashReports {
    const crashes = this.#unsentReports.map(({ at, ...report }) => ({ ...report, ageMs: now - at }))
    const sound = [...this.#unsentSound].map(([trait, at]) => ({ trait, ageMs: now - at }))
    this.#unsentReports = []
    this.#unsentSound.clear()
    return { crashes, sound }
  }

  #recognize (crash: string, maxAgeMs: Millis, now: Millis): RecognizedCrash | undefined {
    const broken = this.#brokenConnections.get(crash)
    if (broken === undefined) return undefined
    const recent = broken.filter(({ at }) => now - at <= maxAgeMs)
    const firstAt = Math.min(...broken.map(({ at }) => at))
    // Connections that are too old for this evidence may still count by a report of a peer, or when the upstream leaves the list.
    if (recent.length > 0) {
      this.#brokenConnections.delete(crash)
      const at = Math.min(...recent.map(connection => connection.at))
      const candidates = [...recent.flatMap(({ candidate }) => candidate ?? []), ...this.#takeJustBegun(crash, at)]
      this.#addCandidates(this.#openRecord(crash, at), candidates)
      this.#report(crash, at, candidates)
    }
    return { brokenConnections: recent.length, ignoredConnections: broken.length - recent.length, ageMs: now - firstAt }
  }

  /** Takes the requests to which the upstream began to respond shortly before a crash; each is a candidate once. */
  #takeJustBegun (crash: string, crashedAt: Millis): RequestTraits[] {
    const begun = this.#begunResponses.get(crash) ?? []
    const isCandidate = ({ at }: BegunResponse): boolean => crashedAt - at <= SOUND_AFTER_MS
    if (begun.length > 0) this.#begunResponses.set(crash, begun.filter(response => !isCandidate(response)))
    return begun.filter(isCandidate).map(({ traits }) => traits)
  }

  #openRecord (crash: string, at: Millis): CrashRecord {
    const record = getOrMake(this.#crashes, crash, () => ({ at, candidates: new Map() }))
    record.at = Math.min(record.at, at)
    const [oldest] = this.#crashes.keys()
    if (this.#crashes.size > MAX_CRASHES && oldest !== undefined) this.#crashes.delete(oldest)
    return record
  }

  #addCandidates ({ candidates }: CrashRecord, added: readonly RequestTraits[]): void {
    const sizeBefore = candidates.size
    for (const { fingerprint, parts } of added) if (candidates.size < MAX_CANDIDATES && !candidates.has(fingerprint)) candidates.set(fingerprint, { fingerprint, parts })
    if (candidates.size > sizeBefore) this.#onCandidatesChanged()
  }

  /** Adds candidates of this gateway to a crash that is known, and reports those that are new. */
  #addOwn (crash: string, record: CrashRecord, own: readonly RequestTraits[]): void {
    const added = own.filter(({ fingerprint }) => !record.candidates.has(fingerprint))
    if (added.length === 0) return
    this.#addCandidates(record, added)
    this.#report(crash, record.at, added)
  }

  /** Queues a report, with what is known to be sound of its candidates. */
  #report (crash: string, at: Millis, candidates: readonly RequestTraits[]): void {
    this.#unsentReports.push({ crash, at, isConfirmed: true, candidates: candidates.slice(0, MAX_CANDIDATES) })
    for (const part of candidates.flatMap(({ parts }) => parts)) {
      const soundAt = this.#lastSoundAt.get(part)
      if (soundAt !== undefined) this.#unsentSound.set(part, soundAt)
    }
  }

  /** Remembers the parts that this gateway has seen soundly since a crash, which it did not know of when that was settled. */
  #recordPeerCandidates (crashedAt: Millis, candidates: readonly RequestTraits[]): void {
    for (const part of candidates.flatMap(({ parts }) => parts)) if ((this.#lastSoundAt.get(part) ?? -Infinity) > crashedAt) this.#soundSinceCrash.set(part, crashedAt)
  }

  /** Queues reports of sound parts that no peer has reported in the meantime: gateways settle at different times, and the first report is enough. */
  #reportSoundSinceCrash (): void {
    for (const part of this.#soundSinceCrash.keys()) {
      const soundAt = this.#lastSoundAt.get(part)
      if (soundAt !== undefined) this.#unsentSound.set(part, soundAt)
    }
    this.#soundSinceCrash.clear()
  }

  #settleBegun (crash: string, begun: readonly BegunResponse[], now: Millis): void {
    const crashedAt = this.#crashes.get(crash)?.at ?? Infinity
    // Whether the upstream has crashed shows some time after its connections broke.
    const brokenAt = (this.#brokenConnections.get(crash) ?? []).map(({ at }) => at)
    const isPending = ({ at }: BegunResponse): boolean => now - at < SOUND_AFTER_MS || brokenAt.some(broken => broken >= at && broken - at <= SOUND_AFTER_MS)
    const pending = begun.filter(isPending)
    if (pending.length > 0) this.#begunResponses.set(crash, pending)
    else this.#begunResponses.delete(crash)
    for (const response of begun) if (!isPending(response) && crashedAt - response.at > SOUND_AFTER_MS) this.#recordSound(response.traits, response.at)
  }

  #recordSound (traits: RequestTraits, at: Millis): void {
    for (const part of traits.parts) this.#recordSoundTrait(part, at)
    if (!this.isEmpty && this.#lastCrashes().has(traits.fingerprint)) this.#recordSoundTrait(traits.fingerprint, at)
  }

  #recordSoundTrait (trait: Trait, at: Millis): void {
    const crashedAt = this.#lastCrashes().get(trait)
    if (crashedAt !== undefined && crashedAt < at && (this.#lastSoundAt.get(trait) ?? -Infinity) <= crashedAt) this.#unsentSound.set(trait, at)
    this.#setSound(trait, at)
  }

  #setSound (trait: Trait, at: Millis): void {
    const known = this.#lastSoundAt.get(trait) ?? -Infinity
    if (this.#accusations?.has(trait) === true) this.#accusations = undefined
    this.#lastSoundAt.delete(trait)
    this.#lastSoundAt.set(trait, Math.max(known, at))
    const [oldest] = this.#lastSoundAt.keys()
    if (this.#lastSoundAt.size > MAX_SOUND_TRAITS && oldest !== undefined) this.#lastSoundAt.delete(oldest)
  }

  #lastCrashes (): ReadonlyMap<Trait, Millis> {
    if (this.#lastCrashAt !== undefined) return this.#lastCrashAt
    const lastCrashAt = new Map<Trait, Millis>()
    for (const { at, candidates } of this.#crashes.values()) {
      for (const { fingerprint, parts } of candidates.values()) {
        for (const trait of [fingerprint, ...parts]) lastCrashAt.set(trait, Math.max(at, lastCrashAt.get(trait) ?? -Infinity))
      }
    }
    this.#lastCrashAt = lastCrashAt
    return lastCrashAt
  }

  #onCandidatesChanged (): void {
    this.#lastCrashAt = undefined
    this.#accusations = undefined
  }

  /** Removes crashes that are too old, and candidates and parts that have been sound since the crash. */
  #prune (now: Millis): void {
    const wasSoundSince = (trait: Trait, at: Millis): boolean => (this.#lastSoundAt.get(trait) ?? -Infinity) >= at
    let isChanged = false
    for (const [crash, { at, candidates }] of this.#crashes) {
      if (now - at > CRASH_RETENTION_MS) this.#crashes.delete(crash)
      isChanged ||= !this.#crashes.has(crash)
      for (const { fingerprint, parts } of candidates.values()) {
        const suspected = parts.filter(part => !wasSoundSince(part, at))
        const isObsolete = suspected.length === 0 && (now - at > REQUEST_RETENTION_MS || wasSoundSince(fingerprint, at))
        if (!isObsolete && suspected.length === parts.length) continue
        isChanged = true
        if (isObsolete) candidates.delete(fingerprint)
        else candidates.set(fingerprint, { fingerprint, parts: suspected })
      }
    }
    if (isChanged) this.#onCandidatesChanged()
  }
}

/**
 * Tracks which requests were running when their upstream crashed. A request that crashes every upstream that runs it, and is
 * retried by its caller, is refused after a few crashes, so that upstreams stay available to other requests. A request that
 * merely ran concurrently is seldom involved in so many crashes. The quarantine policy of the routers is more precise, because
 * agents report crashes to routers; a gateway only sees broken connections.
 */
import { getOrMake, type Millis } from '@fuchsiaworks/kernel'
import type { CrashReport, RecognizedCrash, RequestHash, UpstreamProcess } from './crashSuspectTypes.js'

/** Crashes after which a request is refused; requirements allow one request to crash three upstreams. */
const MAX_CRASHES = 3

/** Milliseconds after a broken connection within which a failed connection attempt means that the upstream crashed. */
const UNREACHABLE_WITHIN_MS: Millis = 2000

/** Milliseconds after a broken connection within which removal from the list of upstreams without draining means a crash; longer, because a list entry expires only after several missed heartbeats. */
const UNLISTED_WITHIN_MS: Millis = 6000

/** Milliseconds after its last crash for which a request is refused and its crashes are remembered. */
const SUSPECT_TTL_MS: Millis = 60_000

/** Maximum number of suspects; those with the oldest last crash are dropped first. */
const MAX_SUSPECTS = 2000

/** Identifies the end of a process of an upstream, the same at all gateways. */
const crashOf = ({ id, startedAt }: UpstreamProcess): string => `${id} ${startedAt ?? ''}`

interface Suspect {
  readonly crashes: Set<string>
  lastCrashAt: Millis
}

/** Requests suspected of crashing upstreams, as known to one gateway. */
export class CrashSuspectDb {
  /** Connections that broke while a request was running, by the crash that they may be due to. */
  readonly #brokenConnections = new Map<string, Array<{ readonly fingerprint: RequestHash, readonly at: Millis }>>()
  readonly #suspects = new Map<RequestHash, Suspect>()
  #unsentReports: CrashReport[] = []

  /** True while there are no suspects; then no fingerprint needs to be computed. */
  get isEmpty (): boolean {
    return this.#suspects.size === 0
  }

  /** Records that the connection to an upstream broke while it ran a request. */
  recordBrokenConnection (fingerprint: RequestHash, upstream: UpstreamProcess, now: Millis): void {
    getOrMake(this.#brokenConnections, crashOf(upstream), () => []).push({ fingerprint, at: now })
  }

  /**
   * Records that an upstream accepts no connections; connections that broke shortly before then count as its crash.
   *
   * @returns the crash; undefined when no connection had broken
   */
  recordUnreachable (upstream: UpstreamProcess, now: Millis): RecognizedCrash | undefined {
    return this.#recordCrash(crashOf(upstream), UNREACHABLE_WITHIN_MS, now)
  }

  /**
   * Records that an upstream was removed from the list of upstreams without draining; connections that broke shortly before then count as its crash.
   *
   * @returns the crash; undefined when no connection had broken
   */
  recordUnlisted (upstream: UpstreamProcess, now: Millis): RecognizedCrash | undefined {
    return this.#recordCrash(crashOf(upstream), UNLISTED_WITHIN_MS, now)
  }

  /**
   * Applies a crash report of a peer gateway. Connections of this gateway that broke with the upstream count as well: after the first gateway has
   * found it unreachable, all of them avoid it, so that this one may not connect in time.
   *
   * @returns the crash, when connections of this gateway had broken
   */
  applyReport (report: CrashReport, now: Millis): RecognizedCrash | undefined {
    this.#addSuspect(report, now)
    return this.#recordCrash(report.crash, UNLISTED_WITHIN_MS, now)
  }

  #addSuspect ({ fingerprint, crash }: CrashReport, now: Millis): void {
    const known = this.#suspects.get(fingerprint)
    const suspect = known !== undefined && now - known.lastCrashAt < SUSPECT_TTL_MS ? known : { crashes: new Set<string>(), lastCrashAt: now }
    // A repeated report, such as one from a peer that has become reachable again, must not prolong the refusal.
    if (suspect.crashes.has(crash)) return
    suspect.crashes.add(crash)
    suspect.lastCrashAt = now
    this.#suspects.delete(fingerprint)
    this.#suspects.set(fingerprint, suspect)
    const [oldest] = this.#suspects.keys()
    if (this.#suspects.size > MAX_SUSPECTS && oldest !== undefined) this.#suspects.delete(oldest)
  }

  /** Removes expired suspects and broken connections. */
  expire (now: Millis): void {
    for (const [fingerprint, { lastCrashAt }] of this.#suspects) if (now - lastCrashAt >= SUSPECT_TTL_MS) this.#suspects.delete(fingerprint)
    for (const [crash, broken] of this.#brokenConnections) if (broken.every(({ at }) => now - at > UNLISTED_WITHIN_MS)) this.#brokenConnections.delete(crash)
  }

  /** @returns milliseconds for which the request is still refused; 0 when it is not refused */
  remainingRefusalMs (fingerprint: RequestHash, now: Millis): Millis {
    const suspect = this.#suspects.get(fingerprint)
    if (suspect === undefined || suspect.crashes.size < MAX_CRASHES) return 0
    return Math.max(0, suspect.lastCrashAt + SUSPECT_TTL_MS - now)
  }

  /** @returns all known crash reports, to be sent to a gateway that has just become reachable */
  reports (): CrashReport[] {
    return [...this.#suspects].flatMap(([fingerprint, { crashes }]) => [...crashes].map(crash => ({ fingerprint, crash })))
  }

  /** @returns crash reports of this gateway since the last call, to be sent to peer gateways */
  takeUnsentReports (): CrashReport[] {
    const reports = this.#unsentReports
    this.#unsentReports = []
    return reports
  }

  #recordCrash (crash: string, maxAgeMs: Millis, now: Millis): RecognizedCrash | undefined {
    const broken = this.#brokenConnections.get(crash)
    if (broken === undefined) return undefined
    const recent = broken.filter(({ at }) => now - at <= maxAgeMs)
    // Connections that are too old for this evidence may still count by a report of a peer, or when the upstream leaves the list.
    if (recent.length > 0) this.#brokenConnections.delete(crash)
    for (const { fingerprint } of recent) {
      const report: CrashReport = { fingerprint, crash }
      this.#addSuspect(report, now)
      this.#unsentReports.push(report)
    }
    return { brokenConnections: recent.length, ignoredConnections: broken.length - recent.length, ageMs: Math.max(...broken.map(({ at }) => now - at)) }
  }
}

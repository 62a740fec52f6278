/**
 * Tracks which requests were running when their upstream crashed. A request that crashes every upstream that runs it, and is
 * retried by its caller, is refused after a few crashes, so that upstreams stay available to other requests. A request that
 * merely ran concurrently is seldom involved in so many crashes. The quarantine of routers is more precise, because agents
 * report crashes to them; a gateway only sees broken connections.
 */
import { getOrMake, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'
import type { CrashReport, RequestHash } from './crasherTypes.js'

/** Crashes after which a request is refused; requirements allow one request to crash three upstreams. */
const MAX_CRASHES = 3

/** Milliseconds after a broken connection within which a failed connection attempt means that the upstream crashed. */
const UNREACHABLE_MS: Millis = 2000

/** Milliseconds after a broken connection within which removal from the list without draining means a crash; longer, because the entry expires only after several heartbeats. */
const UNLISTED_MS: Millis = 6000

/** Milliseconds after its last crash for which a request is refused and its crashes are remembered. */
const KEPT_MS: Millis = 60_000

/** Maximum number of suspects; those with the oldest last crash are dropped first. */
const MAX_KEPT = 2000

/** Length of the time slots, in milliseconds, in which several broken connections to one upstream count as one crash. */
const SAME_CRASH_MS: Millis = 1000

interface Suspect {
  readonly crashes: Set<string>
  lastAt: Millis
}

/** Requests suspected of crashing upstreams, as known to one router. */
export class CrashSuspectDb {
  /** Connections that broke while a request was running, by upstream. */
  readonly #broken = new Map<UpstreamId, Array<{ readonly print: RequestHash, readonly at: Millis }>>()
  readonly #suspects = new Map<RequestHash, Suspect>()
  #untold: CrashReport[] = []

  /** True while there are no suspects, so that callers can skip computing the fingerprint. */
  get isEmpty (): boolean {
    return this.#suspects.size === 0
  }

  /** Records that the connection to an upstream broke while it ran a request. */
  recordBrokenConnection (print: RequestHash, upstream: UpstreamId, now: Millis): void {
    getOrMake(this.#broken, upstream, () => []).push({ print, at: now })
  }

  /** Records that an upstream accepts no connections; connections that broke shortly before then count as its crash. */
  recordUnreachable (upstream: UpstreamId, now: Millis): void {
    this.#noteEnd(upstream, UNREACHABLE_MS, now)
  }

  /** Records that an upstream was removed from the list without draining; connections that broke shortly before then count as its crash. */
  recordUnlisted (upstream: UpstreamId, now: Millis): void {
    this.#noteEnd(upstream, UNLISTED_MS, now)
  }

  /** Applies a crash report of this router or another one. */
  applyReport ({ fingerprint: print, crash }: CrashReport, now: Millis): void {
    const before = this.#suspects.get(print)
    const suspect = before !== undefined && now - before.lastAt < KEPT_MS ? before : { crashes: new Set<string>(), lastAt: now }
    // A repeated report, such as one from a peer that has become reachable again, must not prolong the refusal.
    if (suspect.crashes.has(crash)) return
    suspect.crashes.add(crash)
    suspect.lastAt = now
    this.#suspects.delete(print)
    this.#suspects.set(print, suspect)
    const [oldest] = this.#suspects.keys()
    if (this.#suspects.size > MAX_KEPT && oldest !== undefined) this.#suspects.delete(oldest)
  }

  /** Removes expired suspects and broken connections. */
  expire (now: Millis): void {
    for (const [print, { lastAt }] of this.#suspects) if (now - lastAt >= KEPT_MS) this.#suspects.delete(print)
    for (const [upstream, broken] of this.#broken) if (broken.every(({ at }) => now - at > UNLISTED_MS)) this.#broken.delete(upstream)
  }

  /** @returns milliseconds for which the request is still refused; 0 when it is not refused */
  remainingRefusalMs (print: RequestHash, now: Millis): Millis {
    const suspect = this.#suspects.get(print)
    if (suspect === undefined || suspect.crashes.size < MAX_CRASHES) return 0
    return Math.max(0, suspect.lastAt + KEPT_MS - now)
  }

  /** @returns all known crash reports, to be sent to a router that has just become reachable */
  reports (): CrashReport[] {
    return [...this.#suspects].flatMap(([print, { crashes }]) => [...crashes].map(crash => ({ fingerprint: print, crash })))
  }

  /** @returns crash reports of this router since the last call, to be sent to other routers */
  takeUnsentReports (): CrashReport[] {
    const reports = this.#untold
    this.#untold = []
    return reports
  }

  #noteEnd (upstream: UpstreamId, withinMs: Millis, now: Millis): void {
    const broken = this.#broken.get(upstream)
    if (broken === undefined) return
    this.#broken.delete(upstream)
    for (const { print, at } of broken) {
      if (now - at > withinMs) continue
      const report: CrashReport = { fingerprint: print, crash: `${upstream} ${Math.floor(at / SAME_CRASH_MS)}` }
      this.applyReport(report, now)
      this.#untold.push(report)
    }
  }
}

/**
 * Remembers which requests were running when their upstream ended. Answers a request that ends each upstream that runs it
 * and is sent again and again: after a few ends it is refused, so that upstreams stay up for all others. A request that
 * merely ran beside it is seldom caught in so many. The quarantine of routers goes further, by what agents beside the
 * upstreams report; a gateway sees broken connections only.
 */
import { getOrMake, type Millis, type UpstreamId } from '@fuchsiaworks/kernel'
import type { CrashReport, RequestHash } from './crasherTypes.js'

/** Ends of upstreams from which on a request is refused: the users bear three. */
const MAX_CRASHES = 3

/** Milliseconds after a broken connection within which the upstream must accept no connection for it to count as ended. */
const UNREACHABLE_MS: Millis = 2000

/** The same for an upstream that goes from the list without having left in an orderly way: its entry lapses after some heartbeats. */
const UNLISTED_MS: Millis = 6000

/** Milliseconds after the last end for which a request is refused, and its ends are remembered. */
const KEPT_MS: Millis = 60_000

/** Requests that are remembered; the oldest are dropped first. */
const MAX_KEPT = 2000

/** Milliseconds within which ends of one upstream count as one. */
const SAME_CRASH_MS: Millis = 1000

interface Suspect {
  readonly crashes: Set<string>
  lastAt: Millis
}

/** What one router knows of such requests. */
export class CrashSuspectDb {
  /** Connections that broke in the middle of a request, by upstream. */
  readonly #broken = new Map<UpstreamId, Array<{ readonly print: RequestHash, readonly at: Millis }>>()
  readonly #suspects = new Map<RequestHash, Suspect>()
  #untold: CrashReport[] = []

  /** True while no request is suspected, so that none need be looked up. */
  get isEmpty (): boolean {
    return this.#suspects.size === 0
  }

  /** Notes that the connection to an upstream broke while it ran a request. */
  recordBrokenConnection (print: RequestHash, upstream: UpstreamId, now: Millis): void {
    getOrMake(this.#broken, upstream, () => []).push({ print, at: now })
  }

  /** Notes that an upstream accepts no connection: what broke there just before was its end. */
  recordUnreachable (upstream: UpstreamId, now: Millis): void {
    this.#noteEnd(upstream, UNREACHABLE_MS, now)
  }

  /** Notes that an upstream went from the list without having left in an orderly way. */
  recordUnlisted (upstream: UpstreamId, now: Millis): void {
    this.#noteEnd(upstream, UNLISTED_MS, now)
  }

  /** Takes the word of another router, or of this one. */
  applyReport ({ fingerprint: print, crash }: CrashReport, now: Millis): void {
    const before = this.#suspects.get(print)
    const suspect = before !== undefined && now - before.lastAt < KEPT_MS ? before : { crashes: new Set<string>(), lastAt: now }
    // A report that is told again, as to a router that comes into sight, is no news.
    if (suspect.crashes.has(crash)) return
    suspect.crashes.add(crash)
    suspect.lastAt = now
    this.#suspects.delete(print)
    this.#suspects.set(print, suspect)
    const [oldest] = this.#suspects.keys()
    if (this.#suspects.size > MAX_KEPT && oldest !== undefined) this.#suspects.delete(oldest)
  }

  /** Forgets what is too old to count. */
  expire (now: Millis): void {
    for (const [print, { lastAt }] of this.#suspects) if (now - lastAt >= KEPT_MS) this.#suspects.delete(print)
    for (const [upstream, broken] of this.#broken) if (broken.every(({ at }) => now - at > UNLISTED_MS)) this.#broken.delete(upstream)
  }

  /** @returns milliseconds for which a request is still refused; 0 when it is not */
  remainingRefusalMs (print: RequestHash, now: Millis): Millis {
    const suspect = this.#suspects.get(print)
    if (suspect === undefined || suspect.crashes.size < MAX_CRASHES) return 0
    return Math.max(0, suspect.lastAt + KEPT_MS - now)
  }

  /** @returns all that is remembered, for a router that has just come into sight */
  reports (): CrashReport[] {
    return [...this.#suspects].flatMap(([print, { crashes }]) => [...crashes].map(crash => ({ fingerprint: print, crash })))
  }

  /** Hands over the reports since the last call, for other routers. */
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

/** Requests that one gateway has recently sent to other zones because its own had no free capacity. */
import type { Millis, ZoneId } from '@fuchsiaworks/kernel'

/** Age of the loads from peers that a gateway decides by: the update interval of a fleet of twenty gateways, 100 ms, and the delay of a message. */
const REPORT_AGE_MS: Millis = 120

/** Time after the last request that left the zone for which the zone counts as short. */
const SHORT_MS: Millis = 500

/** State of the policy. */
export class ZoneSpillDb {
  /** Times of recent sends by zone, oldest first. */
  readonly #sends = new Map<ZoneId, Millis[]>()
  #lastSendAt: Millis = -Infinity

  /** Records that a request was sent to another zone. */
  recordSend (zone: ZoneId, now: Millis): void {
    const recent = this.#recent(zone, now)
    recent.push(now)
    this.#sends.set(zone, recent)
    this.#lastSendAt = now
  }

  /** @returns the requests sent to a zone that the loads from its gateways do not include yet */
  sentSinceReport (zone: ZoneId, now: Millis): number {
    return this.#recent(zone, now).length
  }

  /** @returns whether the own zone was short of capacity until just now */
  isShort (now: Millis): boolean {
    return now - this.#lastSendAt < SHORT_MS
  }

  #recent (zone: ZoneId, now: Millis): Millis[] {
    return (this.#sends.get(zone) ?? []).filter(at => now - at < REPORT_AGE_MS)
  }
}

/** Limits how fast one gateway takes the free capacity that it and its peers see at the same time. */
import type { Millis } from '@fuchsiaworks/kernel'

/** Time over which gateways together take the capacity that is visible: about that after which they see each other's sends. */
const VISIBLE_AFTER_MS: Millis = 60

/** Requests that a gateway may start, as they accrue with time. */
export class StartCredit {
  #credit = 1
  #at: Millis = 0

  /**
   * @param visible - requests for which upstreams show free capacity
   * @param ownPart - part of it that this gateway may take
   * @returns whole requests that may start now
   */
  available (visible: number, ownPart: number, now: Millis): number {
    if (visible <= 0) return 0
    if (ownPart >= 1) return Math.ceil(visible)
    const part = visible * ownPart
    this.#credit = Math.min(Math.max(1, part), this.#credit + part * Math.min(1, (now - this.#at) / VISIBLE_AFTER_MS))
    this.#at = now
    return Math.floor(this.#credit)
  }

  spend (starts: number): void {
    this.#credit = Math.max(0, this.#credit - starts)
  }
}

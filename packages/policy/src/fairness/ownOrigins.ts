/** Names under which this process publishes what it served. */
import { asId, getOrMake, type Incarnation, type Millis, type ServiceId } from '@fuchsiaworks/kernel'

interface OwnOrigin {
  origin: Incarnation
  epoch: number
  touchedAt: Millis
}

/** Own origins by service. */
export class OwnOrigins {
  readonly #own = new Map<ServiceId, OwnOrigin>()
  /** Tells whether a parent counts this process's service; it never folds the origins of its children. */
  isSummed: (service: ServiceId) => boolean = () => false

  /**
   * @param incarnation - life of this process; its origins are named after it
   * @param maxRest - milliseconds without a change after which others may fold an origin soon
   */
  constructor (readonly incarnation: Incarnation, readonly maxRest: Millis) {}

  /** @returns the origin under which a service is charged now */
  of (service: ServiceId): Incarnation {
    return this.#own.get(service)?.origin ?? this.#firstName(service)
  }

  /**
   * Notes a change, and begins a new origin first when the old one has rested for too long.
   *
   * @param folded - origins that must not be used any more
   * @returns the origin to charge under
   */
  touch (service: ServiceId, folded: ReadonlySet<Incarnation>, now: Millis): Incarnation {
    const own = this.#entry(service, now)
    const rested = now - own.touchedAt > this.maxRest && !this.isSummed(service)
    if (rested || folded.has(own.origin)) this.renew(service, now)
    own.touchedAt = now
    return own.origin
  }

  /** Begins a new origin. */
  renew (service: ServiceId, now: Millis): void {
    const own = this.#entry(service, now)
    own.epoch += 1
    own.origin = asId<Incarnation>(`${this.incarnation}.${service}.${own.epoch}`)
  }

  #entry (service: ServiceId, now: Millis): OwnOrigin {
    return getOrMake(this.#own, service, () => ({ origin: this.#firstName(service), epoch: 0, touchedAt: now }))
  }

  #firstName (service: ServiceId): Incarnation {
    return this.isSummed(service) ? asId<Incarnation>(`${this.incarnation}.${service}`) : this.incarnation
  }
}

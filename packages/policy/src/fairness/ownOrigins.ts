/** Names under which this process publishes what it served. */
import { asId, getOrMake, type Incarnation, type Millis, type ServiceId } from '@fuchsiaworks/kernel'

interface OwnOrigin {
  origin: Incarnation
  epoch: number
  chargedAt: Millis
}

/** Own origins by service. */
export class OwnOrigins {
  readonly #current = new Map<ServiceId, OwnOrigin>()
  /** Tells whether a parent counts this process's service; it never folds the origins of its children. */
  isCountedByParent: (service: ServiceId) => boolean = () => false

  /**
   * @param incarnation - life of this process; its origins are named after it
   * @param maxIdle - milliseconds without a change after which others may fold an origin soon
   */
  constructor (readonly incarnation: Incarnation, readonly maxIdle: Millis) {}

  /** @returns the origin under which a service is charged now */
  current (service: ServiceId): Incarnation {
    return this.#current.get(service)?.origin ?? this.#firstName(service)
  }

  /**
   * Notes a change, and begins a new origin first when the old one has rested for too long.
   *
   * @param folded - origins that must not be used any more
   * @returns the origin to charge under
   */
  originForCharge (service: ServiceId, folded: ReadonlySet<Incarnation>, now: Millis): Incarnation {
    const own = this.#entry(service, now)
    const wasIdle = now - own.chargedAt > this.maxIdle && !this.isCountedByParent(service)
    if (wasIdle || folded.has(own.origin)) this.renew(service, now)
    own.chargedAt = now
    return own.origin
  }

  /** Begins a new origin. */
  renew (service: ServiceId, now: Millis): void {
    const own = this.#entry(service, now)
    own.epoch += 1
    own.origin = asId<Incarnation>(`${this.incarnation}.${service}.${own.epoch}`)
  }

  #entry (service: ServiceId, now: Millis): OwnOrigin {
    return getOrMake(this.#current, service, () => ({ origin: this.#firstName(service), epoch: 0, chargedAt: now }))
  }

  #firstName (service: ServiceId): Incarnation {
    return this.isCountedByParent(service) ? asId<Incarnation>(`${this.incarnation}.${service}`) : this.incarnation
  }
}

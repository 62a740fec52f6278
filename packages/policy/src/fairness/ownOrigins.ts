/** Origins (counter names) under which this process publishes the service it gave. */
import { asId, getOrMake, type Incarnation, type Millis, type ServiceId } from '@fuchsiaworks/kernel'

interface OwnOrigin {
  origin: Incarnation
  epoch: number
  chargedAt: Millis
}

/** Current origin of this process for each service. */
export class OwnOrigins {
  readonly #current = new Map<ServiceId, OwnOrigin>()
  /** Checks whether a parent counts this process's service; a parent never folds the origins of its children. */
  isCountedByParent: (service: ServiceId) => boolean = () => false

  /**
   * @param incarnation - incarnation of this process, which prefixes its origins
   * @param maxIdle - milliseconds without a charge after which an origin is replaced, since peers may fold it soon
   */
  constructor (readonly incarnation: Incarnation, readonly maxIdle: Millis) {}

  /** @returns the origin under which a service is currently charged */
  current (service: ServiceId): Incarnation {
    return this.#current.get(service)?.origin ?? this.#initialOrigin(service)
  }

  /**
   * Records a charge; starts a new origin when the old one was idle for too long or has been folded.
   *
   * @param folded - folded origins, which must not be used any more
   * @returns the origin under which to charge
   */
  originForCharge (service: ServiceId, folded: ReadonlySet<Incarnation>, now: Millis): Incarnation {
    const own = this.#entry(service, now)
    const wasIdle = now - own.chargedAt > this.maxIdle && !this.isCountedByParent(service)
    if (wasIdle || folded.has(own.origin)) this.renew(service, now)
    own.chargedAt = now
    return own.origin
  }

  /** Starts a new origin. */
  renew (service: ServiceId, now: Millis): void {
    const own = this.#entry(service, now)
    own.epoch += 1
    own.origin = asId<Incarnation>(`${this.incarnation}.${service}.${own.epoch}`)
  }

  #entry (service: ServiceId, now: Millis): OwnOrigin {
    return getOrMake(this.#current, service, () => ({ origin: this.#initialOrigin(service), epoch: 0, chargedAt: now }))
  }

  #initialOrigin (service: ServiceId): Incarnation {
    return this.isCountedByParent(service) ? asId<Incarnation>(`${this.incarnation}.${service}`) : this.incarnation
  }
}

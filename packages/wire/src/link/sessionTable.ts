/** The sessions of a listening end, and what becomes of an offer. Knows no sockets. */
import type { Incarnation } from '@fuchsiaworks/kernel'
import type { Offer, Outcome } from '../handshake/handshakeTypes.js'
import type { Identity, SessionEnd } from '../session/sessionTypes.js'

/** Processes whose last incarnation is remembered, and superseded incarnations that are refused. */
const MAX_REMEMBERED = 16_384

/** What the table needs of a session. */
export interface TableSession {
  /** Ends the session if it has expired by now. */
  checkExpiry: () => void
  end: (reason: SessionEnd) => void
}

interface Entry<S> {
  readonly peer: Identity
  readonly number: number
  readonly session: S
  attempt: number
}

const keyOf = (offer: Offer): string => `${offer.identity.incarnation} ${offer.dialer}`
const processOf = (peer: Identity): string => `${peer.role} ${peer.host}`

const dropOldest = <K>(remembered: Set<K> | Map<K, unknown>): void => {
  const [oldest] = remembered.keys()
  if (remembered.size > MAX_REMEMBERED && oldest !== undefined) remembered.delete(oldest)
}

/** Sessions by the peer's incarnation and dialer. */
export class SessionTable<S extends TableSession> {
  readonly #entries = new Map<string, Entry<S>>()
  readonly #incarnations = new Map<string, Incarnation>()
  readonly #superseded = new Set<Incarnation>()

  /** The sessions that have not ended. */
  get sessions (): S[] {
    return [...this.#entries.values()].map(entry => entry.session)
  }

  /**
   * Says what becomes of an offer, and changes nothing but expired sessions.
   *
   * @param offer - a proved offer
   * @returns the outcome, with the session when it is resumed
   */
  judge (offer: Offer): { readonly outcome: Outcome, readonly session?: S } {
    if (this.#superseded.has(offer.identity.incarnation)) return { outcome: 'superseded' }
    const entry = this.#live(offer)
    if (entry !== undefined && offer.attempt <= entry.attempt) return { outcome: 'gone' }
    if (offer.session === offer.attempt) return { outcome: 'new' }
    if (entry === undefined || entry.number !== offer.session) return { outcome: 'gone' }
    return { outcome: 'resumed', session: entry.session }
  }

  /**
   * Takes a confirmed offer. Ends the sessions that it replaces.
   *
   * @param offer - a confirmed offer, judged again, as time has passed
   * @param make - makes a new session
   * @returns the session to attach the connection to, or undefined when it has gone since
   */
  accept (offer: Offer, make: () => S): S | undefined {
    const { outcome, session } = this.judge(offer)
    if (outcome === 'gone' || outcome === 'superseded') return undefined
    this.#supersede(offer.identity)
    const entry = this.#entries.get(keyOf(offer))
    if (session !== undefined && entry !== undefined) {
      entry.attempt = offer.attempt
      return session
    }
    entry?.session.end('expired')
    const made = make()
    this.#entries.set(keyOf(offer), { peer: offer.identity, number: offer.session, session: made, attempt: offer.attempt })
    return made
  }

  /**
   * Forgets a session that has ended.
   *
   * @param session - the session
   */
  remove (session: S): void {
    for (const [key, entry] of this.#entries) {
      if (entry.session === session) this.#entries.delete(key)
    }
  }

  #live (offer: Offer): Entry<S> | undefined {
    this.#entries.get(keyOf(offer))?.session.checkExpiry()
    return this.#entries.get(keyOf(offer))
  }

  #supersede (peer: Identity): void {
    const process = processOf(peer)
    const before = this.#incarnations.get(process)
    this.#incarnations.delete(process)
    this.#incarnations.set(process, peer.incarnation)
    dropOldest(this.#incarnations)
    if (before === undefined || before === peer.incarnation) return
    this.#superseded.add(before)
    dropOldest(this.#superseded)
    for (const { peer: other, session } of [...this.#entries.values()]) {
      if (other.incarnation === before) session.end('peer-restarted')
    }
  }
}

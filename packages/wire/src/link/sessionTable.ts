/** The sessions of a listening end, and what becomes of an offer. Knows no sockets. */
import { getOrMake } from '@fuchsiaworks/kernel'
import type { Offer, OfferOutcome } from '../handshake/handshakeTypes.js'
import type { SessionEnd } from '../session/sessionTypes.js'

/** What the table needs of a session. */
export interface TableSession {
  /** Ends the session if it has expired by now. */
  checkExpiry: () => void
  end: (reason: SessionEnd) => void
}

interface Entry<S> {
  readonly offer: Offer
  readonly session: S
  /** Last attempt of the dialer that was accepted. */
  attempt: number
}

const sessionKey = (offer: Offer): string => `${offer.identity.incarnation} ${offer.dialer}`

/**
 * @param offer - an offer of a dialing end
 * @returns whether it asks for a session of its own rather than for the rest of one
 */
export const isNewSession = (offer: Offer): boolean => offer.session === offer.attempt

const processKey = ({ identity }: Offer): string => `${identity.role} ${identity.host}`

/** Sessions by the peer's incarnation and dialer. Of one process, only one incarnation has sessions. */
export class SessionTable<S extends TableSession> {
  readonly #entries = new Map<string, Entry<S>>()
  readonly #byProcess = new Map<string, Set<Entry<S>>>()

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
  evaluate (offer: Offer): { readonly outcome: OfferOutcome, readonly session?: S } {
    for (const entry of this.#entriesOf(offer)) entry.session.checkExpiry()
    if (this.#isSuperseded(offer)) return { outcome: 'superseded' }
    const entry = this.#entries.get(sessionKey(offer))
    if (entry !== undefined && offer.attempt <= entry.attempt) return { outcome: 'gone' }
    if (isNewSession(offer)) return { outcome: 'new' }
    if (entry === undefined || entry.offer.session !== offer.session) return { outcome: 'gone' }
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
    const { outcome, session } = this.evaluate(offer)
    if (outcome === 'gone' || outcome === 'superseded') return undefined
    const entry = this.#entries.get(sessionKey(offer))
    if (session !== undefined && entry !== undefined) {
      entry.attempt = offer.attempt
      return session
    }
    entry?.session.end('expired')
    for (const other of this.#entriesOf(offer)) {
      if (other.offer.identity.incarnation !== offer.identity.incarnation) other.session.end('peer-restarted')
    }
    return this.#add(offer, make())
  }

  /**
   * Forgets a session that has ended.
   *
   * @param offer - the offer that opened it
   */
  remove (offer: Offer): void {
    const entry = this.#entries.get(sessionKey(offer))
    if (entry?.offer.session !== offer.session) return
    this.#entries.delete(sessionKey(offer))
    const process = this.#byProcess.get(processKey(offer))
    process?.delete(entry)
    if (process?.size === 0) this.#byProcess.delete(processKey(offer))
  }

  #add (offer: Offer, session: S): S {
    const entry = { offer, session, attempt: offer.attempt }
    this.#entries.set(sessionKey(offer), entry)
    getOrMake(this.#byProcess, processKey(offer), () => new Set()).add(entry)
    return session
  }

  #entriesOf (offer: Offer): Array<Entry<S>> {
    return [...this.#byProcess.get(processKey(offer)) ?? []]
  }

  /**
   * True while a process of the same host that started later has a session. When that session has ended the offer is good
   * again, so a clock that was set back can't shut a host out for longer than the expiry.
   */
  #isSuperseded (offer: Offer): boolean {
    return this.#entriesOf(offer).some(({ offer: { identity, started } }) =>
      identity.incarnation !== offer.identity.incarnation && started > offer.started)
  }
}

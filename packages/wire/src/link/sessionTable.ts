/** Sessions of a listening end, and the decision on session offers. Independent of sockets. */
import { getOrMake } from '@fuchsiaworks/kernel'
import type { Offer, OfferOutcome } from '../handshake/handshakeTypes.js'
import type { SessionEnd } from '../session/sessionTypes.js'

/** Session interface that the table depends on. */
export interface TableSession {
  /** Ends the session if it has expired by now. */
  checkExpiry: () => void
  end: (reason: SessionEnd) => void
}

interface Entry<S> {
  readonly offer: Offer
  readonly session: S
  /** Number of the dialer's last accepted attempt. */
  attempt: number
}

const sessionKey = (offer: Offer): string => `${offer.identity.incarnation} ${offer.dialer}`

/**
 * @param offer - offer of a dialing end
 * @returns true if the offer opens a new session, false if it resumes one
 */
export const isNewSession = (offer: Offer): boolean => offer.session === offer.attempt

const processKey = ({ identity }: Offer): string => `${identity.role} ${identity.host}`

/** Sessions by the peer's incarnation and dialer. Of each peer process, only one incarnation has sessions. */
export class SessionTable<S extends TableSession> {
  readonly #entries = new Map<string, Entry<S>>()
  readonly #byProcess = new Map<string, Set<Entry<S>>>()

  /** Sessions that have not ended. */
  get sessions (): S[] {
    return [...this.#entries.values()].map(entry => entry.session)
  }

  /**
   * Decides on an offer. Has no side effect other than ending expired sessions.
   *
   * @param offer - authenticated offer
   * @returns the outcome, with the session if it is resumed
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
   * Accepts a confirmed offer and ends the sessions that it replaces. The offer is evaluated again, because sessions may
   * have ended since the first evaluation.
   *
   * @param offer - confirmed offer
   * @param create - creates a new session
   * @returns the session to attach the connection to, or undefined if the offer is no longer valid
   */
  accept (offer: Offer, create: () => S): S | undefined {
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
    return this.#add(offer, create())
  }

  /**
   * Removes a session that has ended.
   *
   * @param offer - the offer that opened the session
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
   * True while a process of the same host and role that started later has a session. Once that session has ended the offer
   * is valid again, so a wall clock that was set back cannot lock out a host for longer than the session expiry.
   */
  #isSuperseded (offer: Offer): boolean {
    return this.#entriesOf(offer).some(({ offer: { identity, started } }) =>
      identity.incarnation !== offer.identity.incarnation && started > offer.started)
  }
}

/** Registry of the links of a process; dispatches the messages that arrive on them. */
import { createLog, EventSource, onEvent, type Service, type ServiceKey, serviceKey, toError } from '@fuchsiaworks/kernel'
import type { Message, Session, SessionEnd, TransportEvent } from '@fuchsiaworks/wire'
import type { ProcessContext } from '../context/processContext.js'
import { FleetLink } from './fleetLink.js'
import { MessageDispatcher } from './messageDispatcher.js'

/** A link whose session has ended and will not be resumed. */
export interface ClosedLink {
  readonly link: FleetLink
  readonly reason: SessionEnd
}

const log = createLog('links')

/** Holds at most one link for each incarnation of a peer. */
export class LinkHub implements Service {
  readonly #links = new Map<string, FleetLink>()
  readonly #opened = new EventSource<FleetLink>()
  readonly #closed = new EventSource<ClosedLink>()
  /** Receives the messages of all links. */
  readonly dispatcher = new MessageDispatcher()
  /** Links that were added, each emitted before its first message. */
  readonly opened = this.#opened.stream
  /** Links whose session has ended and will not be resumed. */
  readonly closed = this.#closed.stream

  constructor (readonly context: ProcessContext) {}

  /** @returns all links whose session has not ended, also those without a connection right now */
  openLinks (): Iterable<FleetLink> {
    return this.#links.values()
  }

  /** @returns the links to peers with a role */
  withRole (role: 'router' | 'agent'): FleetLink[] {
    return [...this.#links.values()].filter(link => link.peer.role === role)
  }

  /** @returns the link with an id; undefined when its session has ended */
  find (id: string): FleetLink | undefined {
    return this.#links.get(id)
  }

  /**
   * Adds a session as a link. Two routers may dial each other at the same time: of two sessions with the same incarnation,
   * both ends keep the one dialled by the host with the smaller name. Between an agent and a router the first session is kept.
   *
   * @param session - a new session; none of its messages has been read yet
   * @param dialled - true when this process opened the connection
   * @returns false when another session with the peer is kept and this one is closed
   */
  addSession (session: Session, dialled: boolean): boolean {
    const link = new FleetLink(session, dialled)
    const existing = this.#links.get(link.id)
    if (existing !== undefined && this.#isPreferred(existing)) {
      session.close()
      return false
    }
    existing?.session.close()
    this.#links.set(link.id, link)
    this.context.timeLine.record({ kind: 'link-up', peer: link.peer.host, detail: link.peer.incarnation })
    onEvent(session.messages, log, message => { this.#dispatch(link, message) })
    onEvent(session.transport, log, event => { this.#recordTransport(link, event) })
    session.ended.then(reason => { this.#remove(link, reason) }, () => {})
    if (existing !== undefined) this.#closed.emit({ link: existing, reason: 'closed' })
    this.#opened.emit(link)
    return true
  }

  close (): void {
    for (const link of this.#links.values()) link.session.close()
    this.#opened.close()
    this.#closed.close()
  }

  #isPreferred ({ dialled, peer }: FleetLink): boolean {
    const { host, role } = this.context.identity
    if (role !== 'router' || peer.role !== 'router') return true
    const isLocalDialKept = host < peer.host
    return dialled === isLocalDialKept
  }

  #dispatch (link: FleetLink, message: Message): void {
    if (this.#links.get(link.id) !== link) return
    try {
      if (!this.dispatcher.dispatch(link, message)) log.warn('no handler for a message of this kind; message dropped', { kind: message.kind, peer: link.peer.host })
    } catch (err) {
      log.error('message handler failed', { kind: message.kind, peer: link.peer.host, error: toError(err).stack ?? '' })
    }
  }

  #recordTransport (link: FleetLink, event: TransportEvent): void {
    const peer = link.peer.host
    const { timeLine } = this.context
    switch (event.kind) {
      case 'up':
        if (event.resumed) timeLine.record({ kind: 'link-replaced', peer })
        return
      case 'silent': return timeLine.record({ kind: 'link-silent', peer, detail: `${Math.round(event.silence)} ms` })
      case 'down': return timeLine.record({ kind: 'link-down', peer, detail: event.reason })
    }
  }

  #remove (link: FleetLink, reason: SessionEnd): void {
    if (this.#links.get(link.id) !== link) return
    this.#links.delete(link.id)
    log.info('link closed', { peer: link.peer.host, reason })
    this.context.timeLine.record({ kind: 'link-down', peer: link.peer.host, detail: reason })
    this.#closed.emit({ link, reason })
  }
}

/** Service key of the link hub. */
export const linkHubKey: ServiceKey<LinkHub> = serviceKey('links')

/** All links of a process: who is linked, what arrives, and what ended. */
import { createLog, EventSource, onEvent, type Service, type ServiceKey, serviceKey, toError } from '@fuchsiaworks/kernel'
import type { Message, Session, SessionEnd, TransportEvent } from '@fuchsiaworks/wire'
import type { ProcessContext } from '../context/processContext.js'
import { FleetLink } from './fleetLink.js'
import { MessageDispatcher } from './messageTable.js'

/** A link that ended for good. */
export interface ClosedLink {
  readonly link: FleetLink
  readonly reason: SessionEnd
}

const log = createLog('links')

/** Registry of the links of one process. */
export class LinkHub implements Service {
  readonly #links = new Map<string, FleetLink>()
  readonly #opened = new EventSource<FleetLink>()
  readonly #closed = new EventSource<ClosedLink>()
  /** Handlers of messages by kind. */
  readonly dispatcher = new MessageDispatcher()
  /** Links that were adopted, each before its first message. */
  readonly opened = this.#opened.stream
  /** Links that ended for good. */
  readonly closed = this.#closed.stream

  constructor (readonly context: ProcessContext) {}

  /** @returns the links that have not ended */
  openLinks (): Iterable<FleetLink> {
    return this.#links.values()
  }

  /** @returns the links with peers of a role */
  withRole (role: 'router' | 'agent'): FleetLink[] {
    return [...this.#links.values()].filter(link => link.peer.role === role)
  }

  /** @returns the link of that name, unless it has ended */
  find (id: string): FleetLink | undefined {
    return this.#links.get(id)
  }

  /**
   * Takes a new session among the links. Two routers may have dialled each other; of two sessions with one incarnation
   * both ends keep the one that the host with the smaller name dialled. Between an agent and a router the first is kept.
   *
   * @param session - a session whose messages nobody has read
   * @param dialled - true when this process dialled
   * @returns false when another session with the peer is kept instead
   */
  addSession (session: Session, dialled: boolean): boolean {
    const link = new FleetLink(session, dialled)
    const present = this.#links.get(link.id)
    if (present !== undefined && this.#isPreferred(present)) {
      session.close()
      return false
    }
    present?.session.close()
    this.#links.set(link.id, link)
    this.context.timeLine.record({ kind: 'link-up', peer: link.peer.host, detail: link.peer.incarnation })
    onEvent(session.messages, log, message => { this.#receive(link, message) })
    onEvent(session.transport, log, event => { this.#recordTransport(link, event) })
    session.ended.then(reason => { this.#remove(link, reason) }, () => {})
    if (present !== undefined) this.#closed.emit({ link: present, reason: 'closed' })
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
    const ownDials = host < peer.host
    return dialled === ownDials
  }

  #receive (link: FleetLink, message: Message): void {
    if (this.#links.get(link.id) !== link) return
    try {
      if (!this.dispatcher.dispatch(link, message)) log.warn('a message kind is not handled here', { kind: message.kind, peer: link.peer.host })
    } catch (err) {
      log.error('a message could not be handled', { kind: message.kind, peer: link.peer.host, error: toError(err).stack ?? '' })
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
    log.info('a link ended', { peer: link.peer.host, reason })
    this.context.timeLine.record({ kind: 'link-down', peer: link.peer.host, detail: reason })
    this.#closed.emit({ link, reason })
  }
}

/** Key of the link hub. */
export const linkHubKey: ServiceKey<LinkHub> = serviceKey('links')

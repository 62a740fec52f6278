/** One session with one incarnation of a peer, under a name that the policies use. */
import type { Identity, Message, Session } from '@fuchsiaworks/wire'

/** A link is a session with its name. */
export class FleetLink {
  /** Host and incarnation of the peer; unique among all links of all times. */
  readonly id: string

  /**
   * @param session - the session beneath
   * @param dialled - true when this process dialled
   */
  constructor (readonly session: Session, readonly dialled: boolean) {
    this.id = `${session.peer.host}/${session.peer.incarnation}`
  }

  /** Who stands at the other end. */
  get peer (): Identity {
    return this.session.peer
  }

  /**
   * Queues a message for the peer.
   *
   * @param message - what to send
   */
  send (message: Message): void {
    this.session.send(message)
  }
}

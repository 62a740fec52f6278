/** A session with one incarnation of a peer, with the link id that the policies use. */
import type { Identity, Message, Session } from '@fuchsiaworks/wire'

/** A session and its link id. */
export class FleetLink {
  /** Host and incarnation of the peer; never reused for another incarnation. */
  readonly id: string

  /**
   * @param session - the underlying session
   * @param dialled - true when this process opened the connection
   */
  constructor (readonly session: Session, readonly dialled: boolean) {
    this.id = `${session.peer.host}/${session.peer.incarnation}`
  }

  /** Identity of the process at the other end. */
  get peer (): Identity {
    return this.session.peer
  }

  /** Queues a message for the peer. */
  send (message: Message): void {
    this.session.send(message)
  }
}

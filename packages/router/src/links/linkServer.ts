/** Listening port for links from agents and other routers. */
import { createLog, onEvent, type Service, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import { type LinkHub, linkOptions, type ProcessContext } from '@fuchsiaworks/fleet'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { listenSessions, type SessionServer } from '@fuchsiaworks/wire'

const log = createLog('links')

/** Accepts sessions and adds them to the link hub. */
export class LinkServer implements Service {
  #server: SessionServer | undefined

  constructor (readonly context: ProcessContext, readonly hub: LinkHub, readonly settings: RouterSettings) {}

  /** Address of the listening socket; undefined until started. */
  get address (): { readonly host: string, readonly port: number } | undefined {
    return this.#server?.address
  }

  async start (): Promise<void> {
    const server = await listenSessions({ ...linkOptions(this.context), ...this.settings.links })
    this.#server = server
    onEvent(server.sessions, log, session => { this.hub.addSession(session, false) })
  }

  async close (): Promise<void> {
    await this.#server?.close()
  }
}

export const linkServerKey: ServiceKey<LinkServer> = serviceKey('link-server')

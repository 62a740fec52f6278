/** The port on which agents and other routers open links. */
import { createLog, onEvent, type Service, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import { type LinkHub, linkOptions, type ProcessContext } from '@fuchsiaworks/fleet'
import type { RouterSettings } from '@fuchsiaworks/settings'
import { listenSessions, type SessionServer } from '@fuchsiaworks/wire'

const log = createLog('links')

/** Accepts links and hands them to the hub. */
export class LinkServer implements Service {
  #server: SessionServer | undefined

  constructor (readonly context: ProcessContext, readonly hub: LinkHub, readonly settings: RouterSettings) {}

  /** Address on which links are accepted, once started. */
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

/** Key of the link server. */
export const linkServerKey: ServiceKey<LinkServer> = serviceKey('link-server')

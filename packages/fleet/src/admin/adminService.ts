/** Serves the administration API of a process. */
import { type AdminHandlers, type AdminServer, bindHandlers, startAdmin } from '@fuchsiaworks/admin'
import { createLog, type Service, type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { ProcessContext } from '../context/processContext.js'

const log = createLog('admin')

/** HTTP server of the administration API. */
export class AdminService implements Service {
  #server: AdminServer | undefined

  constructor (readonly context: ProcessContext, readonly handlers: AdminHandlers) {}

  async start (): Promise<void> {
    const { host, port, key } = this.context.settings.admin
    this.#server = await startAdmin({ host, port, key, routes: bindHandlers(this.handlers) })
    log.info('administration API is listening', { port: this.#server.address.port })
  }

  async close (): Promise<void> {
    await this.#server?.close()
  }
}

/** Service key of the administration API. */
export const adminKey: ServiceKey<AdminService> = serviceKey('admin')

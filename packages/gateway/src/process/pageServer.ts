/** HTTP server for a single page, such as the readiness check or the metrics. */
import { createServer, type Server } from 'node:http'
import { createLog, type Service, toError } from '@fuchsiaworks/kernel'
import type { ListenAddress } from '@fuchsiaworks/settings'

/** Response with the content of the page. */
export interface PageResponse {
  readonly status: number
  readonly type: string
  readonly body: string
}

const log = createLog('pages')

/** Serves one path; responds with 404 to all others. */
export class PageServer implements Service {
  readonly #server: Server

  /**
   * @param listen - address and path to serve
   * @param render - produces the response to each request
   */
  constructor (readonly listen: ListenAddress & { readonly path: string }, readonly render: () => PageResponse | Promise<PageResponse>) {
    this.#server = createServer((req, res) => {
      if (req.url !== listen.path) return res.writeHead(404).end()
      Promise.resolve(render()).then(({ status, type, body }) => {
        res.writeHead(status, { 'content-type': type, 'content-length': String(Buffer.byteLength(body)) }).end(body)
      }).catch(err => {
        log.error('page failed to render', { path: listen.path, reason: toError(err).message })
        res.writeHead(500).end()
      })
    })
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.listen.port, this.listen.host, resolve)
    })
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

/** Upstream stand-ins for measurements of gateways: they stream events at a fixed interval and do little else. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Millis } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'

/** Time before the first event, and between two events. */
const FIRST_EVENT_MS: Millis = 60
const EVENT_INTERVAL_MS: Millis = 20

/** Time in which a plain upstream processes a request. */
const PLAIN_MS: Millis = 85

const EVENT_TEXT = JSON.stringify({ object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: ' token' } }] })

/** Header with which a caller of this measurement says how many events it wants. */
export const EVENT_COUNT_HEADER = 'x-events'

const respond = (req: IncomingMessage, res: ServerResponse): void => {
  const attempt = String(req.headers[HEADER.attemptId])
  const events = Number(req.headers[EVENT_COUNT_HEADER] ?? 0)
  const headers = { [HEADER.attemptId]: attempt, [HEADER.responseSeal]: `seal.${attempt}`, 'content-type': events > 0 ? 'text/event-stream' : 'application/json' }
  if (events === 0) {
    setTimeout(() => { res.writeHead(200, { ...headers, 'content-length': 300 }).end('.'.repeat(300)) }, PLAIN_MS)
    return
  }
  res.writeHead(200, headers)
  let sent = 0
  const sendEvent = (): void => {
    if (res.destroyed) return
    sent += 1
    res.write(`id: ${sent}\ndata: ${EVENT_TEXT}\n\n`)
    if (sent >= events) res.end('data: [DONE]\n\n')
    else setTimeout(sendEvent, EVENT_INTERVAL_MS)
  }
  setTimeout(sendEvent, FIRST_EVENT_MS)
}

/** Running upstreams. */
export class MeasuredUpstreams {
  private constructor (readonly addresses: readonly string[], readonly servers: readonly Server[]) {}

  /** Starts a number of upstreams. */
  static async start (count: number): Promise<MeasuredUpstreams> {
    const servers = Array.from({ length: count }, () => createServer({ keepAliveTimeout: 60_000, noDelay: true }, (req, res) => {
      req.resume()
      req.on('end', () => { respond(req, res) })
    }))
    await Promise.all(servers.map(async server => { await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) }) }))
    return new MeasuredUpstreams(servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`), servers)
  }

  close (): void {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }
}

/** Relays responses from agents to callers. */
import type { FleetLink, LinkHub } from '@fuchsiaworks/fleet'
import type { ServiceKey } from '@fuchsiaworks/kernel'
import { serviceKey } from '@fuchsiaworks/kernel'
import type { CreditMessage, ResponseBodyMessage, ResponseEndMessage, ResponseHeadMessage } from '@fuchsiaworks/wire'
import type { RequestFlow } from './requestFlow.js'
import type { RequestTable } from './requestTable.js'

/** Handles response messages. A message is ignored unless its link currently holds the request. */
export class ResponseRelay {
  constructor (readonly hub: LinkHub, readonly requests: RequestTable, readonly flow: RequestFlow) {
    hub.dispatcher.on('response-head', (link, message) => { this.#onHead(link, message) })
    hub.dispatcher.on('response-body', (link, message) => { this.#onBody(link, message) })
    hub.dispatcher.on('response-end', (link, message) => { this.#onEnd(link, message) })
    hub.dispatcher.on('credit', (link, message) => { this.#onCredit(link, message) })
  }

  #onHead (link: FleetLink, message: ResponseHeadMessage): void {
    const request = this.requests.findHeldBy(message.request, link)
    if (request === undefined) return
    this.flow.responseStarted(request)
    this.flow.telemetry.record('request-first-byte', request)
    request.writer.writeHead(message.status, message.headers)
  }

  #onBody (link: FleetLink, message: ResponseBodyMessage): void {
    this.requests.findHeldBy(message.request, link)?.writer.writeBody(message.data)
  }

  #onEnd (link: FleetLink, message: ResponseEndMessage): void {
    const request = this.requests.findHeldBy(message.request, link)
    if (request === undefined) return
    this.flow.complete(request)
    request.writer.end(message.trailers)
  }

  #onCredit (link: FleetLink, message: CreditMessage): void {
    if (message.direction !== 'request') return
    this.requests.findHeldBy(message.request, link)?.reader.addCredit(message.bytes)
  }
}

export const responseRelayKey: ServiceKey<ResponseRelay> = serviceKey('response-relay')

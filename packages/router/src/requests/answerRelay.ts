/** Passes answers from agents to callers. */
import type { FleetLink, LinkHub } from '@fuchsiaworks/fleet'
import type { ServiceKey } from '@fuchsiaworks/kernel'
import { serviceKey } from '@fuchsiaworks/kernel'
import type { CreditMessage, ResponseBodyMessage, ResponseEndMessage, ResponseHeadMessage } from '@fuchsiaworks/wire'
import type { RequestFlow } from './requestFlow.js'
import type { RequestTable } from './requestTable.js'

/** Relays the messages of answers; each is taken only from the link that holds the request. */
export class AnswerRelay {
  constructor (readonly hub: LinkHub, readonly table: RequestTable, readonly flow: RequestFlow) {
    hub.dispatcher.on('response-head', (link, message) => { this.#onHead(link, message) })
    hub.dispatcher.on('response-body', (link, message) => { this.#onBody(link, message) })
    hub.dispatcher.on('response-end', (link, message) => { this.#onEnd(link, message) })
    hub.dispatcher.on('credit', (link, message) => { this.#onCredit(link, message) })
  }

  #onHead (link: FleetLink, message: ResponseHeadMessage): void {
    const request = this.table.heldBy(message.request, link)
    if (request === undefined) return
    this.flow.bytesSent(request)
    this.flow.journal.record('request-first-byte', request)
    request.writer.head(message.status, message.headers)
  }

  #onBody (link: FleetLink, message: ResponseBodyMessage): void {
    this.table.heldBy(message.request, link)?.writer.data(message.data)
  }

  #onEnd (link: FleetLink, message: ResponseEndMessage): void {
    const request = this.table.heldBy(message.request, link)
    if (request === undefined) return
    this.flow.completed(request)
    request.writer.end(message.trailers)
  }

  #onCredit (link: FleetLink, message: CreditMessage): void {
    if (message.direction !== 'request') return
    this.table.heldBy(message.request, link)?.reader.addCredit(message.bytes)
  }
}

/** Key of the answer relay. */
export const answerRelayKey: ServiceKey<AnswerRelay> = serviceKey('answers')

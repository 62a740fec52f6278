/** Sends requests to gateways and records how they end. */
import { Agent, type IncomingMessage, request } from 'node:http'
import type { Clock, Millis } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import type { SentRequest } from '../invariants/observationTypes.js'
import { HOST } from '../world/routes.js'
import { endsWithConnection, waitForOrderlyEnd } from './connectionEnd.js'

/** Time beyond the timeout of the route after which a caller closes its connection. */
const CLIENT_TIMEOUT_MARGIN_MS: Millis = 4000

/** Prompt tokens and maximum output tokens of requests with a prompt. */
const PROMPT_TOKEN_COUNT = '400,60'

const singleHeader = (res: IncomingMessage, name: string): string | undefined => {
  const value = res.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** How a caller behaves, beyond waiting for its response. */
export interface CallerBehaviour {
  /** Whether it opens a new connection for the request. */
  readonly isNewConnection: boolean
  /** Time after which it disconnects early; undefined for never. */
  readonly disconnectAfterMs?: Millis | undefined
  /** Time within which the response has to start; undefined for no limit of its own. */
  readonly patienceMs?: Millis
  /** Called once, when the request has ended. */
  readonly onEnd?: () => void
}

/** HTTP client of one gateway with connection reuse. */
export class Caller {
  readonly #agent = new Agent({ keepAlive: true })

  /**
   * @param clock - source of time
   * @param port - port of the gateway
   */
  constructor (readonly clock: Clock, readonly port: number) {}

  /**
   * Sends a request and records in it how it ended.
   *
   * @param sent - the request
   * @param behaviour - how the caller behaves
   */
  send (sent: SentRequest, { isNewConnection, disconnectAfterMs, patienceMs, onEnd }: CallerBehaviour): void {
    let body = ''
    let status: number | undefined
    const recordEnd = (end: NonNullable<SentRequest['end']>): void => {
      if (sent.end !== undefined) return
      sent.end = end
      disconnectTimer?.close()
      patienceTimer?.close()
      timeoutTimer.close()
      onEnd?.()
    }
    const recordBroken = (reason: string): void => { recordEnd({ kind: 'broken', at: this.clock.now(), status, body, reason }) }
    const req = request({
      host: '127.0.0.1',
      port: this.port,
      method: 'POST',
      path: sent.path,
      agent: isNewConnection ? false : this.#agent,
      headers: {
        host: HOST,
        'content-length': Buffer.byteLength(sent.body),
        [HEADER.attemptId]: sent.attempt,
        [HEADER.deadlineMs]: String(sent.timeoutMs),
        ...sent.parts === undefined ? {} : { [HEADER.promptParts]: sent.parts, [HEADER.tokenCount]: PROMPT_TOKEN_COUNT },
        ...sent.resumes === undefined ? {} : { [HEADER.resumes]: sent.resumes.attempt, [HEADER.lastEventId]: String(sent.resumes.lastEventId) },
        ...sent.key === undefined ? {} : { authorization: `Bearer ${sent.key}` }
      }
    }, res => {
      status = res.statusCode
      patienceTimer?.close()
      const orderlyEnd = endsWithConnection(res) ? waitForOrderlyEnd(res.socket) : Promise.resolve(true)
      res.setEncoding('utf8')
      res.on('data', text => { body += String(text) })
      res.on('error', err => { recordBroken(err.message) })
      res.on('close', () => { if (!res.complete) recordBroken('the response was truncated') })
      res.on('end', () => {
        if (!res.complete) return recordBroken('the response was truncated')
        orderlyEnd.then(isOrderly => {
          if (!isOrderly) return recordBroken('the connection was reset')
          recordEnd({ kind: 'response', at: this.clock.now(), status: res.statusCode ?? 0, seal: singleHeader(res, HEADER.responseSeal), body, retryAfter: singleHeader(res, HEADER.retryAfter) })
        }, () => {})
      })
    })
    const disconnect = (): void => {
      recordEnd({ kind: 'left', at: this.clock.now() })
      req.destroy()
    }
    const disconnectTimer = disconnectAfterMs === undefined ? undefined : this.clock.after(disconnectAfterMs, disconnect)
    const patienceTimer = patienceMs === undefined ? undefined : this.clock.after(patienceMs, disconnect)
    const timeoutTimer = this.clock.after(sent.timeoutMs + CLIENT_TIMEOUT_MARGIN_MS, disconnect)
    req.on('error', err => { recordBroken(err.message) })
    req.end(sent.body)
  }

  close (): void {
    this.#agent.destroy()
  }
}

/** One request while it runs at the upstream, with credit-based flow control of the request and response bodies. */
import { PassThrough } from 'node:stream'
import type { Millis } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { ServiceConfig } from '@fuchsiaworks/settings'
import { BODY_WINDOW_BYTES, CreditBatcher, type HandoverMessage, type HeaderList } from '@fuchsiaworks/wire'
import { type EmbeddedResponseVerdict, judgeEmbeddedResponse } from '@fuchsiaworks/policy'
import type { BodyEnd, EmbeddedHead, UpstreamClient, UpstreamExchange } from '@fuchsiaworks/upstreams'
import { type Meter, createMeter } from '../meter/meter.js'

/** Milliseconds to wait for the response head of a model engine, which may arrive only at the end of the generation. */
const ENGINE_HEAD_TIMEOUT_MS = 600_000

/** Milliseconds to wait for the response head of a plain service. */
const PLAIN_HEAD_TIMEOUT_MS = 60_000

/** Callbacks of a run, in order; exactly one of `ended` and `failed` is called last. */
export interface RunEvents {
  head: (run: Run, status: number, headers: HeaderList) => void
  data: (run: Run, data: Buffer) => void
  ended: (run: Run, trailers: HeaderList) => void
  /** `sent` is false when no byte of the request can have reached the upstream. */
  failed: (run: Run, err: Error, sent: boolean) => void
}

/** A request in progress. */
export class Run {
  readonly meter: Meter
  readonly #service: ServiceConfig
  #exchange: UpstreamExchange | undefined
  #body: PassThrough | undefined
  /** Response bytes that may still be sent to the router. */
  #responseCredit = BODY_WINDOW_BYTES
  /** Grants the router credit for the request body as the upstream consumes it. */
  readonly #requestCredit: CreditBatcher
  /** True once the router has cancelled the request or its link has closed; nothing is sent to the router from then on. */
  abandoned = false
  /** HTTP status of the response, once received. */
  status: number | undefined
  /** Time of the first byte of the response, in monotonic milliseconds. */
  firstByteAt: Millis | undefined
  /** Tokens since the last report of the token gap. */
  tokens = 0
  /** Start of the interval in which `tokens` are counted, in monotonic milliseconds. */
  tokensCountedSince: Millis = 0
  lastTokenAt: Millis = 0

  /**
   * @param link - link of the router that handed the request over
   * @param handover - the request
   * @param service - configuration of the service
   * @param startedAt - monotonic milliseconds
   */
  constructor (readonly link: FleetLink, readonly handover: HandoverMessage, service: ServiceConfig, readonly startedAt: Millis) {
    this.#service = service
    this.#requestCredit = new CreditBatcher(bytes => { link.send({ kind: 'credit', request: handover.request, direction: 'request', bytes }) })
    this.meter = createMeter(service, handover.body.length, startedAt)
  }

  /**
   * Sends the request to the upstream.
   *
   * @param client - HTTP client of the upstream
   * @param events - callbacks for the response
   */
  start (client: UpstreamClient, events: RunEvents): void {
    const { method, path, headers, idempotent } = this.handover
    const headTimeout = this.#service.kind === 'engine' ? ENGINE_HEAD_TIMEOUT_MS : PLAIN_HEAD_TIMEOUT_MS
    this.#exchange = client.send({ method, path, headers, idempotent, headTimeoutMs: headTimeout, body: this.#openBody() }, {
      head: (status, responseHeaders) => { events.head(this, status, responseHeaders) },
      data: data => { events.data(this, data) },
      judgeHead: (head, end) => this.#judgeHead(head, end),
      end: trailers => { events.ended(this, trailers) },
      failed: (err, sent) => { events.failed(this, err, sent) }
    })
  }

  /** Adds a chunk of the request body. */
  addBody (data: Uint8Array, ended: boolean): void {
    if (this.#body === undefined || this.#body.destroyed) return
    if (data.length > 0) this.#body.write(data, () => { this.#requestCredit.consumeBytes(data.length) })
    if (ended) this.#body.end()
  }

  /** Subtracts response bytes that were sent to the router from its credit, and pauses reading when the credit is used up. */
  consumeCredit (bytes: number): void {
    this.#responseCredit -= bytes
    if (this.#responseCredit <= 0) this.#exchange?.pause()
  }

  /** Adds credit that the router granted, and resumes reading. */
  addCredit (bytes: number): void {
    this.#responseCredit += bytes
    if (this.#responseCredit > 0) this.#exchange?.resume()
  }

  /** Detaches the run from its router: it continues at the upstream, with unlimited credit because no response is relayed. */
  detach (): void {
    this.abandoned = true
    this.#responseCredit = Number.POSITIVE_INFINITY
    this.#exchange?.resume()
  }

  /** Cancels the request at the upstream. */
  cancel (reason: Error): void {
    this.abandoned = true
    this.#body?.destroy()
    this.#exchange?.cancel(reason)
  }

  /** These upstreams name no request in a response, so that only the bytes tell a second response from a quotation. */
  #judgeHead ({ responseEndsAt, stopsInHeaders }: EmbeddedHead, end: BodyEnd | undefined): EmbeddedResponseVerdict {
    const delimiter = this.#exchange?.report.delimiter ?? 'close'
    return judgeEmbeddedResponse({ owner: 'other', hasOwnSeal: false, endsAt: responseEndsAt, stopsInHeaders }, { delimiter, isEventStream: false, end })
  }

  #openBody (): Uint8Array | PassThrough | undefined {
    const { body, bodyEnded } = this.handover
    if (bodyEnded) return body.length === 0 ? undefined : body
    this.#body = new PassThrough({ highWaterMark: BODY_WINDOW_BYTES })
    this.#body.on('error', () => {})
    this.#body.write(body)
    return this.#body
  }
}

/** One request while it runs at the upstream: body in, answer out, both under credit. */
import { PassThrough } from 'node:stream'
import type { Millis } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { ServiceConfig } from '@fuchsiaworks/settings'
import { BODY_WINDOW_BYTES, CreditBatcher, type HandoverMessage, type HeaderList } from '@fuchsiaworks/wire'
import type { UpstreamClient, UpstreamExchange } from '@fuchsiaworks/upstreams'
import { type Meter, startMeter } from '../meter/meter.js'

/** Milliseconds to wait for the head of a model engine's answer, which may come at the end of the generation. */
const ENGINE_HEAD_TIMEOUT_MS = 600_000

/** Milliseconds to wait for the head of a plain service's answer. */
const PLAIN_HEAD_TIMEOUT_MS = 60_000

/** What a run reports, in order; exactly one of `ended` and `failed` comes last. */
export interface RunEvents {
  head: (run: Run, status: number, headers: HeaderList) => void
  data: (run: Run, data: Buffer) => void
  ended: (run: Run, trailers: HeaderList) => void
  failed: (run: Run, err: Error, sent: boolean) => void
}

/** A request in progress. */
export class Run {
  readonly meter: Meter
  readonly #service: ServiceConfig
  #exchange: UpstreamExchange | undefined
  #body: PassThrough | undefined
  #credit = BODY_WINDOW_BYTES
  readonly #taken: CreditBatcher
  /** True once the router gave it up; nothing is sent to the router any more. */
  abandoned = false
  /** HTTP status, once known. */
  status: number | undefined
  /** Reading of the first byte of the answer. */
  firstByteAt: Millis | undefined
  /** Tokens since the last report of the gap, and when it began. */
  tokens = 0
  tokensSince: Millis = 0
  lastTokenAt: Millis = 0

  /**
   * @param link - the router that handed it over
   * @param handover - the request
   * @param service - configuration of the service
   * @param startedAt - monotonic milliseconds
   */
  constructor (readonly link: FleetLink, readonly handover: HandoverMessage, service: ServiceConfig, readonly startedAt: Millis) {
    this.#service = service
    this.#taken = new CreditBatcher(bytes => { link.send({ kind: 'credit', request: handover.request, direction: 'request', bytes }) })
    this.meter = startMeter(service, handover.body.length, startedAt)
  }

  /**
   * Sends the request to the upstream.
   *
   * @param client - the upstream
   * @param events - told of the answer
   */
  start (client: UpstreamClient, events: RunEvents): void {
    const { method, path, headers, idempotent } = this.handover
    const headTimeout = this.#service.kind === 'engine' ? ENGINE_HEAD_TIMEOUT_MS : PLAIN_HEAD_TIMEOUT_MS
    this.#exchange = client.send({ method, path, headers, idempotent, headTimeoutMs: headTimeout, body: this.#openBody() }, {
      head: (status, answerHeaders) => { events.head(this, status, answerHeaders) },
      data: data => { events.data(this, data) },
      end: trailers => { events.ended(this, trailers) },
      failed: (err, sent) => { events.failed(this, err, sent) }
    })
  }

  /** Takes a further part of the request's body. */
  addBody (data: Uint8Array, ended: boolean): void {
    if (this.#body === undefined || this.#body.destroyed) return
    if (data.length > 0) this.#body.write(data, () => { this.#taken.consumeBytes(data.length) })
    if (ended) this.#body.end()
  }

  /** Notes bytes of the answer that went to the router, and stops reading when its credit is used up. */
  spend (bytes: number): void {
    this.#credit -= bytes
    if (this.#credit <= 0) this.#exchange?.pause()
  }

  /** Takes credit from the router. */
  addCredit (bytes: number): void {
    this.#credit += bytes
    if (this.#credit > 0) this.#exchange?.resume()
  }

  /** Goes on without a router, which nobody's credit holds back. */
  detach (): void {
    this.abandoned = true
    this.#credit = Number.POSITIVE_INFINITY
    this.#exchange?.resume()
  }

  /** Gives the request up at the upstream. */
  cancel (reason: Error): void {
    this.abandoned = true
    this.#body?.destroy()
    this.#exchange?.cancel(reason)
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

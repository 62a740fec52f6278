/** Requests to an upstream, and what happens to them. */
import type { Readable } from 'node:stream'
import type { Millis } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'

/** One request as the upstream receives it. */
export interface UpstreamRequest {
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array | Readable | undefined
  /** False for a request that must not be sent over a connection that the upstream may just be closing. */
  readonly idempotent: boolean
  /** Milliseconds to wait for the answer's head; 0 waits without end. */
  readonly headTimeoutMs: Millis
}

/** What happens to a request, in order. */
export interface UpstreamEvents {
  /** Status and headers arrived. */
  head: (status: number, headers: HeaderList) => void
  /** A part of the body arrived. */
  data: (data: Buffer) => void
  /** The answer is whole. */
  end: (trailers: HeaderList) => void
  /**
   * There will be no whole answer.
   *
   * @param sent - false when no byte of the request can have reached the upstream
   */
  failed: (err: Error, sent: boolean) => void
}

/** A request on its way. */
export interface UpstreamExchange {
  /** Stops reading the answer. */
  pause: () => void
  /** Goes on reading the answer. */
  resume: () => void
  /** Gives the request up and closes its connection; `failed` follows. Does nothing when it has ended. */
  cancel: (reason: Error) => void
}

/** How connections to an upstream are kept. */
export interface ConnectionOptions {
  /** Milliseconds to wait for a new connection. */
  readonly connectTimeoutMs: Millis
  /** Milliseconds for which an idle connection is kept when the upstream does not say. */
  readonly keepAliveMs: Millis
  /** Milliseconds by which a connection is dropped before the upstream would close it. */
  readonly keepAliveMarginMs: Millis
  /** True to open a new connection for each request that is not idempotent. */
  readonly freshConnectionForNonIdempotent: boolean
}

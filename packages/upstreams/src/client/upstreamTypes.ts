/** Requests to an upstream and the handlers of their responses. */
import type { Readable } from 'node:stream'
import type { Id, Millis } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { EmbeddedHead } from './embeddedHeads.js'

/** A connection to an upstream, for the log. */
export type ConnectionId = Id<'connection'>

/** What tells where the body of a response ends. */
export type BodyDelimiter = 'length' | 'chunks' | 'close'

/** The end of a body. */
export interface BodyEnd {
  /** Length of the body. */
  readonly bytes: number
  /** Whether bytes follow on the connection that belong to no request; `unknown` where the connection is closed with the end of the response. */
  readonly bytesBehind: 'none' | 'some' | 'unknown'
}

/**
 * Decides what the head of a response inside a body means: `quoted`: the body is sound; `spliced`: it is joined from several responses, and its exchange
 * fails; `open`: the end of the body decides. Called when a head has ended, before the part of the body in which it ends is passed on, and once more at
 * the end of the body.
 *
 * @param end - undefined while more of the body may follow
 */
export type EmbeddedHeadJudge = (head: EmbeddedHead, end: BodyEnd | undefined) => 'quoted' | 'spliced' | 'open'

/** One request as it is sent to the upstream. */
export interface UpstreamRequest {
  /** Id that the upstream repeats in its response; undefined for one that repeats none. */
  readonly id?: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array | Readable | undefined
  /** False when the request must not be sent over a connection that the upstream may be about to close. */
  readonly idempotent: boolean
  /** Time limit for the response headers; 0 for none. */
  readonly headTimeoutMs: Millis
}

/** Callbacks for the response, in the order of the calls. */
export interface UpstreamResponseHandler {
  /** Status and headers arrived. */
  head: (status: number, headers: HeaderList) => void
  /** A part of the body arrived. */
  data: (data: Buffer) => void
  /** Decides what the head of a response inside the body means; without it, each is taken for a quotation. */
  judgeHead?: EmbeddedHeadJudge
  /** The response is complete. */
  end: (trailers: HeaderList) => void
  /**
   * The request or its response failed; `end` will not be called.
   *
   * @param sent - false when the upstream cannot have received any byte of the request
   */
  failed: (err: Error, sent: boolean) => void
}

/** What is known of the response of an exchange and of its connection. */
export interface ExchangeReport {
  /** The connection; undefined while there is none. */
  readonly connection: ConnectionId | undefined
  /** Position of the request among those that were sent over the connection; 1 for the first, 0 while it has not been sent. */
  readonly position: number
  /** Undefined before the head of the response has arrived. */
  readonly delimiter: BodyDelimiter | undefined
  readonly bodyBytes: number
  /** Bytes that were read together with the last ones of a body with a length and are no part of it. */
  readonly bytesBehind: number
  /** Heads of responses inside the body. */
  readonly embeddedHeads: number
}

/** Bytes that arrived behind a response, or while no request was waiting; their connection is closed. */
export interface UnsolicitedBytes {
  readonly connection: ConnectionId
  /** Requests that were sent over the connection. */
  readonly requests: number
  /** Time since the last response over the connection ended. */
  readonly afterMs: Millis
  /** Bytes of the read that brought them, behind the body of the last response; those that end a body in chunks count. */
  readonly bytes: number
  /** True when the begin of a response is among them. */
  readonly isResponse: boolean
}

/** A request in progress. */
export interface UpstreamExchange {
  /** Pauses reading the response. */
  pause: () => void
  /** Resumes reading the response. */
  resume: () => void
  /** Bytes received that were not part of the body: status line, headers, framing, and whatever the upstream sends in place of a response. */
  readonly overheadBytes: number
  /** True once the request was sent on a connection that had carried no other, so that the connection holds no earlier response. */
  readonly isFirstOnConnection: boolean
  /** What is known of the response so far. */
  readonly report: ExchangeReport
  /** True when an earlier request with that id was sent over the connection; of the last ones, as memory is bounded. */
  hasCarried: (id: string) => boolean
  /** Cancels the request and closes its connection; `failed` is called next. Does nothing when it has ended. */
  cancel: (reason: Error) => void
}

/** Connection options of a client. */
export interface ConnectionOptions {
  /** Time limit for opening a connection. */
  readonly connectTimeoutMs: Millis
  /** Idle timeout of a connection when the upstream does not state one. */
  readonly keepAliveMs: Millis
  /** Idle connections are closed this long before the upstream would close them. */
  readonly keepAliveMarginMs: Millis
  /** True to open a new connection for each request that is not idempotent. */
  readonly freshConnectionForNonIdempotent: boolean
  /** Called for bytes that belong to no response. */
  readonly onUnsolicitedBytes?: (unsolicited: UnsolicitedBytes) => void
}

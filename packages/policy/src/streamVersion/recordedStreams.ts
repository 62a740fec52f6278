/** Versions of the streams of all gateways, as a stream recorder remembers them. */
import type { Millis } from '@fuchsiaworks/kernel'
import { STREAM_RETENTION_MARGIN_MS, StreamTable } from './streamTable.js'
import type { StreamHash, StreamVersionReport, VersionHash } from './streamVersionTypes.js'

/** Streams in one generation of the table; both generations together take about 20 MB. */
const MAX_RECORDED_STREAMS = 131_072

/** Memory of one stream recorder. */
export class RecordedStreams {
  readonly #streams: StreamTable
  /** Longest time that a stream may take; undefined until a gateway has told it, and until then nothing expires. */
  longestStreamMs: Millis | undefined

  /**
   * @param now - monotonic milliseconds
   * @param maxStreams - streams that are remembered at least when there are too many, and twice as many at most
   */
  constructor (now: Millis, maxStreams = MAX_RECORDED_STREAMS) {
    this.#streams = new StreamTable(now, maxStreams)
  }

  /** Applies a report of a gateway. */
  applyReport ({ version, streams }: StreamVersionReport, now: Millis): void {
    for (const stream of streams) this.#streams.set(stream, version, now)
  }

  /** @returns the version of a recent stream; undefined when it is not known here */
  versionOfStream (stream: StreamHash): VersionHash | undefined {
    return this.#streams.get(stream)
  }

  /** Forgets streams that have ended. */
  expire (now: Millis): void {
    if (this.longestStreamMs !== undefined) this.#streams.expire(now, this.longestStreamMs + STREAM_RETENTION_MARGIN_MS)
  }
}

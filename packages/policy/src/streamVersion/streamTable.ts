/** Versions of recent streams by stream, in two generations: entries are forgotten together, so that none needs a time of its own. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { StreamHash, StreamVersionReport, VersionHash } from './streamVersionTypes.js'

/** Time for which a version or a stream is remembered, beyond the longest stream. */
export const STREAM_RETENTION_MARGIN_MS: Millis = 10_000

/** Versions by stream; an entry is kept for one to two times the retention, and for less when there are too many. */
export class StreamTable {
  #current = new Map<StreamHash, VersionHash>()
  #previous = new Map<StreamHash, VersionHash>()
  #startedAt: Millis

  /**
   * @param now - monotonic milliseconds
   * @param maxStreams - entries of a generation; when there are more, the previous one is forgotten
   */
  constructor (now: Millis, readonly maxStreams: number) {
    this.#startedAt = now
  }

  get (stream: StreamHash): VersionHash | undefined {
    return this.#current.get(stream) ?? this.#previous.get(stream)
  }

  set (stream: StreamHash, version: VersionHash, now: Millis): void {
    if (this.#current.size >= this.maxStreams) this.#startGeneration(now)
    this.#current.set(stream, version)
  }

  /** Forgets the entries that are older than the retention. */
  expire (now: Millis, retentionMs: Millis): void {
    if (now - this.#startedAt >= retentionMs) this.#startGeneration(now)
  }

  /** @returns all entries by version */
  reports (): StreamVersionReport[] {
    return groupByVersion(new Map([...this.#previous, ...this.#current]))
  }

  #startGeneration (now: Millis): void {
    this.#previous = this.#current
    this.#current = new Map()
    this.#startedAt = now
  }
}

/** Groups streams by version, so that a report names each version once. */
export const groupByVersion = (versions: ReadonlyMap<StreamHash, VersionHash>): StreamVersionReport[] => {
  const groups = new Map<VersionHash, StreamHash[]>()
  for (const [stream, version] of versions) {
    const group = groups.get(version)
    if (group === undefined) groups.set(version, [stream])
    else group.push(stream)
  }
  return [...groups].map(([version, streams]) => ({ version, streams }))
}

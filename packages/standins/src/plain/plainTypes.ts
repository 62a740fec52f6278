/** Knobs and echo document of the plain service stand-in. */

/** What can be changed on a plain service while it runs. Times are milliseconds. */
export interface PlainKnobs {
  /** Processing time of a request, unless its query has `busy=`. */
  busy: number
  /** Concurrent requests above which the processing time grows in proportion. */
  knee: number
  /** Requests whose path contains this text crash the service; empty for none. */
  crashOn: string
  /** Time from a crash to the restart; connections are refused meanwhile. */
  crashDown: number
  /** Accepts requests and never responds. */
  silent: boolean
  /** Additional time before each response starts. */
  latency: number
  /** Refuses connections. */
  refuse: boolean
  /** Age of the load report. */
  loadLag: number
}

/** A service with short processing times. */
export const DEFAULT_PLAIN_KNOBS: PlainKnobs = {
  busy: 10,
  knee: 8,
  crashOn: '',
  crashDown: 3000,
  silent: false,
  latency: 0,
  refuse: false,
  loadLag: 200
}

/** Response document: the request as the service received it. */
export interface PlainEcho {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly nonce: string
  readonly bodyBytes: number
  readonly bodySha256: string
}

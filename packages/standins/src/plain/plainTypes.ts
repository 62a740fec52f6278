/** Knobs and answers of the plain service stand-in. */

/** What can be changed on a plain service while it runs. Spans are milliseconds. */
export interface PlainKnobs {
  /** Time for which a call keeps the service busy, unless the call says `busy=`. */
  busy: number
  /** Calls at once from which the busy time grows in proportion. */
  knee: number
  /** Text in a path that makes the service drop all connections and start anew; empty for none. */
  crashOn: string
  /** Time for which a crashed service refuses connections. */
  crashDowntimeMs: number
  /** Accepts calls and never answers. */
  silent: boolean
  /** Extra time before each answer begins. */
  latencyMs: number
  /** Refuses connections. */
  refuse: boolean
  /** Age of the load report. */
  loadLagMs: number
}

/** A ledger with short calls, for tests. */
export const DEFAULT_PLAIN_KNOBS: PlainKnobs = {
  busy: 10,
  knee: 8,
  crashOn: '',
  crashDowntimeMs: 3000,
  silent: false,
  latencyMs: 0,
  refuse: false,
  loadLagMs: 200
}

/** What a plain service says about a call. */
export interface PlainEcho {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly nonce: string
  readonly bodyBytes: number
  readonly bodySha256: string
}

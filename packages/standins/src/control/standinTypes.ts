/** What every stand-in offers to the test that runs it. */

/** A running stand-in with knobs of type K. */
export interface Standin<K> {
  /** Address under which clients reach it. */
  readonly url: string
  /** @returns the present knobs */
  knobs: () => K
  /** Changes some knobs at once. */
  updateKnobs: (knobs: Partial<K>) => void
  /** @returns what it saw, as plain data */
  facts: () => unknown
  /** Further orders by name, each taking a JSON document. */
  readonly commands: Readonly<Record<string, (value: unknown) => void>>
  close: () => Promise<void>
}

/** How long the runs of one request lasted and how they ended. */
export type RunEnd = 'running' | 'complete' | 'cancelled' | 'crashed'

/** One run of one request at an upstream. */
export interface Run {
  /** The caller's mark, which names the request over all its resends. */
  readonly nonce: string
  readonly method: string
  readonly path: string
  /** Wall-clock milliseconds. */
  readonly startedAt: number
  endedAt: number | undefined
  end: RunEnd
  /** Prompt tokens at an engine, 0 at a plain service. */
  promptTokens: number
  /** Generated tokens at an engine, busy milliseconds at a plain service. */
  work: number
}

/** Interface of a stand-in towards the test or benchmark that runs it. */

/** A running stand-in with knobs of type K. */
export interface Standin<K> {
  /** Base URL for clients. */
  readonly url: string
  /** @returns the current knobs */
  knobs: () => K
  /** Changes the given knobs and applies them immediately. */
  updateKnobs: (knobs: Partial<K>) => void
  /** @returns counters and records of what the stand-in received and did, as plain data */
  facts: () => unknown
  /** Further commands by name, each taking a JSON document. */
  readonly commands: Readonly<Record<string, (value: unknown) => void>>
  close: () => Promise<void>
}

/** How a run ended; `running` while it has not. */
export type RunEnd = 'running' | 'complete' | 'cancelled' | 'crashed'

/** One execution of a request at an upstream; a retry is a run of its own. */
export interface RequestRun {
  /** Request identifier chosen by the caller; the same for all retries of a request. */
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

/** Knobs and requests of the engine stand-in. */

/** What can be changed on an engine while it runs. Spans are milliseconds. */
export interface EngineKnobs {
  /** Time between two tokens of one request while the batch is at or below the knee. */
  tokenInterval: number
  /** Batch size from which the token interval grows in proportion. */
  knee: number
  /** Least time to the first token. */
  firstToken: number
  /** Further time to the first token for each prompt token. */
  prefillMsPerToken: number
  /** Factor on all times of a wholly cold engine; 1 is warm. */
  coldFactor: number
  /** Work in tokens after which half of the coldness has gone. */
  coldHalfLifeTokens: number
  /** Batch size above which a cold engine crashes; 0 for never. */
  coldCrashBatchSize: number
  /** Text in a prompt that crashes the engine; empty for none. */
  crashOn: string
  /** Time for which a crashed engine refuses connections. */
  crashDowntimeMs: number
  /** Accepts requests and never answers. */
  silent: boolean
  /** Extra time before each answer begins. */
  latencyMs: number
  /** Refuses connections. */
  refuse: boolean
  /** Age of the load report. */
  loadLagMs: number
  /** Tokens that the KV cache holds. */
  kvCapacityTokens: number
}

/** A warm engine with short times, for tests. */
export const DEFAULT_ENGINE_KNOBS: EngineKnobs = {
  tokenInterval: 20,
  knee: 8,
  firstToken: 40,
  prefillMsPerToken: 0.05,
  coldFactor: 1,
  coldHalfLifeTokens: 400,
  coldCrashBatchSize: 0,
  crashOn: '',
  crashDowntimeMs: 3000,
  silent: false,
  latencyMs: 0,
  refuse: false,
  loadLagMs: 200,
  kvCapacityTokens: 64_000
}

/** The parts of a chat completion request that the stand-in reads. */
export interface ChatRequest {
  readonly prompt: string
  readonly maxTokens: number
  readonly stream: boolean
  readonly includeUsage: boolean
  readonly model: string
}

/** Knobs and requests of the engine stand-in. */

/** What can be changed on an engine while it runs. Times are milliseconds. */
export interface EngineKnobs {
  /** Time between two tokens of a request while the batch size is at or below the knee. */
  tokenIntervalMs: number
  /** Batch size above which all times grow in proportion to the batch size. */
  knee: number
  /** Minimum time to first token. */
  firstTokenMs: number
  /** Additional time to first token for each prompt token. */
  prefillMsPerToken: number
  /** Factor on all times of a completely cold engine; 1 disables cold starts. */
  coldFactor: number
  /** Generated tokens after which the coldness has halved. */
  coldHalfLifeTokens: number
  /** Batch size above which a cold engine crashes; 0 for never. */
  coldCrashBatchSize: number
  /** Prompts that contain this text crash the engine; empty for none. */
  crashOn: string
  /** Time from a crash to the restart; connections are refused meanwhile. */
  crashDowntimeMs: number
  /** Accepts requests and never responds. */
  silent: boolean
  /** Additional time before each response starts. */
  latencyMs: number
  /** Refuses connections. */
  refuse: boolean
  /** Age of the load report. */
  loadLagMs: number
  /** Capacity of the KV cache in tokens. */
  kvCapacityTokens: number
}

/** A warm engine with short times. */
export const DEFAULT_ENGINE_KNOBS: EngineKnobs = {
  tokenIntervalMs: 20,
  knee: 8,
  firstTokenMs: 40,
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

/** The fields of a chat completion request that the stand-in uses. */
export interface ChatRequest {
  readonly prompt: string
  readonly maxTokens: number
  readonly stream: boolean
  readonly includeUsage: boolean
  readonly model: string
}

/** Knobs and requests of the engine stand-in. */

/** What can be changed on an engine while it runs. Times are milliseconds. */
export interface EngineKnobs {
  /** Time between two tokens of a request while the batch size is at or below the knee. */
  tokenInterval: number
  /** Batch size above which all times grow in proportion to the batch size. */
  knee: number
  /** Minimum time to first token. */
  firstToken: number
  /** Additional time to first token for each prompt token. */
  promptTokenTime: number
  /** Factor on all times of a completely cold engine; 1 disables cold starts. */
  coldFactor: number
  /** Generated tokens after which the coldness has halved. */
  coldHalfWork: number
  /** Batch size above which a cold engine crashes; 0 for never. */
  coldCrashAbove: number
  /** Prompts that contain this text crash the engine; empty for none. */
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
  /** Capacity of the KV cache in tokens. */
  kvTokens: number
}

/** A warm engine with short times. */
export const DEFAULT_ENGINE_KNOBS: EngineKnobs = {
  tokenInterval: 20,
  knee: 8,
  firstToken: 40,
  promptTokenTime: 0.05,
  coldFactor: 1,
  coldHalfWork: 400,
  coldCrashAbove: 0,
  crashOn: '',
  crashDown: 3000,
  silent: false,
  latency: 0,
  refuse: false,
  loadLag: 200,
  kvTokens: 64_000
}

/** The fields of a chat completion request that the stand-in uses. */
export interface ChatRequest {
  readonly prompt: string
  readonly maxTokens: number
  readonly stream: boolean
  readonly includeUsage: boolean
  readonly model: string
}

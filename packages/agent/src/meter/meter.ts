/** Measures the cost of a request, in cost units, while it runs and at its end. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { ServiceConfig } from '@fuchsiaworks/settings'

/** Approximate bytes of text per token. */
const BYTES_PER_TOKEN = 4

/** Bytes at the end of a JSON response that are searched for its token usage. */
const USAGE_TAIL_BYTES = 2048

const USAGE_PATTERN = /"prompt_tokens"\s*:\s*(\d+)[^{}]*"completion_tokens"\s*:\s*(\d+)/

/** Cost of one request. */
export interface Meter {
  /** True when the time to the first byte shows the latency of the upstream, rather than the length of the whole generation. */
  readonly firstByteShowsLatency: boolean
  /** Receives the content type of the response. */
  head: (contentType: string) => void
  /**
   * Receives a chunk of the response body.
   *
   * @returns tokens in this chunk
   */
  data: (data: Buffer, now: Millis) => number
  /** @returns cost units so far, while the response is incomplete */
  currentCost: (now: Millis) => number
  /** @returns cost units of the complete request */
  finalCost: (now: Millis) => number
}

/** Counts server-sent events, also those that span several chunks. */
class SseEventCounter {
  #lastWasNewline = false

  /** @returns events that end in this chunk */
  count (data: Buffer): number {
    let events = 0
    for (let index = data.indexOf(10); index !== -1; index = data.indexOf(10, index + 1)) {
      const followsNewline = index === 0 ? this.#lastWasNewline : data[index - 1] === 10
      if (followsNewline) events += 1
    }
    this.#lastWasNewline = data.length > 0 && data[data.length - 1] === 10
    return events
  }
}

/** Cost of a request to a model engine: prompt and output tokens, each with a weight. */
class EngineMeter implements Meter {
  readonly #service: ServiceConfig
  readonly #promptTokens: number
  readonly #eventCounter = new SseEventCounter()
  #streamed = false

  /** Without streaming, the first byte arrives only at the end of the generation. */
  get firstByteShowsLatency (): boolean {
    return this.#streamed
  }

  #tokens = 0
  #tail = Buffer.alloc(0)

  constructor (service: ServiceConfig, requestBytes: number) {
    this.#service = service
    this.#promptTokens = requestBytes / BYTES_PER_TOKEN
  }

  head (contentType: string): void {
    this.#streamed = contentType.startsWith('text/event-stream')
  }

  data (data: Buffer): number {
    if (this.#streamed) {
      const tokens = this.#eventCounter.count(data)
      this.#tokens += tokens
      return tokens
    }
    this.#tail = Buffer.concat([this.#tail, data]).subarray(-USAGE_TAIL_BYTES)
    return 0
  }

  currentCost (): number {
    return this.#cost(this.#promptTokens, this.#tokens)
  }

  finalCost (): number {
    const usage = this.#streamed ? null : USAGE_PATTERN.exec(this.#tail.toString('latin1'))
    if (usage === null) return this.currentCost()
    return this.#cost(Number(usage[1]), Number(usage[2]))
  }

  #cost (prompt: number, output: number): number {
    return prompt * this.#service.cost.promptToken + output * this.#service.cost.outputToken
  }
}

/** Cost of a request to a plain service: its duration. */
class PlainMeter implements Meter {
  readonly firstByteShowsLatency = true

  constructor (readonly service: ServiceConfig, readonly startedAt: Millis) {}

  head (): void {}

  data (): number {
    return 0
  }

  currentCost (now: Millis): number {
    return (now - this.startedAt) * this.service.cost.busyMilli
  }

  finalCost (now: Millis): number {
    return this.currentCost(now)
  }
}

/**
 * Creates the meter of one request.
 *
 * @param service - configuration of the service
 * @param requestBytes - bytes of the request body received so far
 * @param now - monotonic milliseconds
 */
export const createMeter = (service: ServiceConfig, requestBytes: number, now: Millis): Meter =>
  service.kind === 'engine' ? new EngineMeter(service, requestBytes) : new PlainMeter(service, now)

/** Measures what a request costs while it runs and once it has ended, in cost units. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { ServiceConfig } from '@fuchsiaworks/settings'

/** Bytes of text in a token, about. */
const BYTES_PER_TOKEN = 4

/** Last bytes of a whole JSON answer that are kept to find its usage. */
const USAGE_TAIL_BYTES = 2048

const USAGE_PATTERN = /"prompt_tokens"\s*:\s*(\d+)[^{}]*"completion_tokens"\s*:\s*(\d+)/

/** Running cost of one request. */
export interface Meter {
  /** True when the first byte of the answer shows how long the request had to wait for its service. */
  readonly firstByteShowsLatency: boolean
  /** Takes the answer's content type. */
  head: (contentType: string) => void
  /**
   * Takes a part of the answer.
   *
   * @returns tokens in this part
   */
  data: (data: Buffer, now: Millis) => number
  /** @returns cost units so far, for an answer that goes on */
  currentCost: (now: Millis) => number
  /** @returns cost units of the whole request */
  finalCost: (now: Millis) => number
}

/** Counts the events of a server-sent stream over the borders of its parts. */
class SseEventCounter {
  #lastWasNewline = false

  /** @returns events that end in this part */
  count (data: Buffer): number {
    let events = 0
    for (let at = data.indexOf(10); at !== -1; at = data.indexOf(10, at + 1)) {
      const followsNewline = at === 0 ? this.#lastWasNewline : data[at - 1] === 10
      if (followsNewline) events += 1
    }
    this.#lastWasNewline = data.length > 0 && data[data.length - 1] === 10
    return events
  }
}

/** Cost of a model engine's request: tokens, weighted for prompt and output. */
class EngineMeter implements Meter {
  readonly #service: ServiceConfig
  readonly #promptTokens: number
  readonly #eventCounter = new SseEventCounter()
  #streamed = false

  /** Without a stream the first byte comes at the end of the generation. */
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

/** Cost of a plain service's request: the time that it kept the service busy. */
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
 * Starts the meter of one request.
 *
 * @param service - configuration of the service
 * @param requestBytes - length of the request's body as far as known
 * @param now - monotonic milliseconds
 * @returns the meter
 */
export const startMeter = (service: ServiceConfig, requestBytes: number, now: Millis): Meter =>
  service.kind === 'engine' ? new EngineMeter(service, requestBytes) : new PlainMeter(service, now)

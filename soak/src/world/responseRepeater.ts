/** Fault of an upstream that breaks responses off inside their bodies, or not at all, and writes them once more on the same connection. */
import type { ServerResponse } from 'node:http'
import { pickWeighted, type Random } from '@fuchsiaworks/bench'
import { assertNever, type Clock, type Millis } from '@fuchsiaworks/kernel'

/** What tells where a body ends. */
type Delimiter = 'length' | 'chunks' | 'close'

/** Share of first responses that are whole, and of second ones that are written at once. */
const WHOLE_SHARE = 0.25
const AT_ONCE_SHARE = 0.4

/** Longest time from a response until it is written once more. */
export const MAX_REPEAT_DELAY_MS: Millis = 300

const delimiterHeader = (delimiter: Delimiter, body: string): Readonly<Record<string, string>> => {
  switch (delimiter) {
    case 'length': return { 'content-length': String(Buffer.byteLength(body)) }
    case 'chunks': return { 'transfer-encoding': 'chunked' }
    case 'close': return { connection: 'close' }
    default: return assertNever(delimiter)
  }
}

/** Returns a body as it is written to the connection; in chunks, one for each of its parts. */
const frame = (delimiter: Delimiter, parts: readonly string[]): string =>
  delimiter === 'chunks' ? [...parts, ''].map(part => `${Buffer.byteLength(part).toString(16)}\r\n${part}\r\n`).join('') : parts.join('')

/** Repeats a share of the responses of one upstream. */
export class ResponseRepeater {
  /** Attempts whose responses were repeated. */
  readonly hit: string[] = []

  /**
   * @param clock - source of time
   * @param random - seeded random numbers
   * @param share - share of the responses that are repeated
   */
  constructor (readonly clock: Clock, readonly random: Random, readonly share: number) {}

  /** Decides whether the response to the next request is repeated. */
  drawRepeated (): boolean {
    return this.random() < this.share
  }

  /**
   * Writes a successful response, or a part of it, and the whole of it behind.
   *
   * @param res - response to a request that nothing has been written to
   * @param attempt - the attempt that it belongs to
   * @param headers - headers but for those that delimit the body
   * @param parts - parts of the body; those of a stream are its events
   * @param onWritten - called with whether the first response is whole, once both are written; not called when the connection has closed before
   */
  write (res: ServerResponse, attempt: string, headers: Readonly<Record<string, string>>, parts: readonly string[], onWritten: (isWhole: boolean) => void): void {
    this.hit.push(attempt)
    const delimiter = pickWeighted<Delimiter>(this.random, [['length', 1], ['chunks', 1], ['close', 1]])
    const body = frame(delimiter, parts)
    const cut = this.random() < WHOLE_SHARE ? body.length : Math.floor(this.random() * body.length)
    const delayMs = this.random() < AT_ONCE_SHARE ? 0 : this.random() * MAX_REPEAT_DELAY_MS
    const allHeaders = { ...headers, ...delimiterHeader(delimiter, parts.join('')) }
    const head = ['HTTP/1.1 200 OK', ...Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
    res.useChunkedEncodingByDefault = false
    res.writeHead(200, allHeaders)
    // What follows the head is framed here.
    res.chunkedEncoding = false
    const finish = (rest: string): void => {
      if (res.destroyed) return
      res.end(rest)
      onWritten(cut === body.length)
    }
    if (delayMs === 0) return finish(body.slice(0, cut) + head + body)
    res.write(body.slice(0, cut))
    this.clock.after(delayMs, () => { finish(head + body) })
  }
}

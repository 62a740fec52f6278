/** Writes one answer to its caller and grants credit as the caller takes it. */
import type { ServerResponse } from 'node:http'
import { CreditBatcher, type HeaderList } from '@fuchsiaworks/wire'
import { endToEndHeaders } from '@fuchsiaworks/wire'
import { type Problem, sendProblem } from '../callers/problem.js'
import type { SilenceLimit } from './silenceLimit.js'

/** The writing side of one caller's exchange. */
export class AnswerWriter {
  readonly #res: ServerResponse
  readonly #credit: CreditBatcher

  /**
   * @param res - the caller's response
   * @param grant - called when the caller has taken more bytes
   * @param silence - told when the caller has to take bytes before more can be sent
   */
  constructor (res: ServerResponse, grant: (bytes: number) => void, readonly silence: SilenceLimit) {
    this.#res = res
    this.#credit = new CreditBatcher(grant)
    res.once('close', () => { silence.close() })
  }

  /** Sends status and headers. */
  head (status: number, headers: HeaderList): void {
    if (this.#closed()) return
    this.#res.writeHead(status, endToEndHeaders(headers).flatMap(([name, value]) => [name, value]))
    this.#res.flushHeaders()
  }

  /** Sends a part of the body. */
  data (data: Uint8Array): void {
    if (this.#closed()) return
    if (this.#res.write(data)) {
      this.#credit.consumeBytes(data.length)
      return
    }
    this.silence.expect()
    this.#res.once('drain', () => {
      this.silence.close()
      this.#credit.consumeBytes(data.length)
    })
  }

  /** Ends the answer. */
  end (trailers: HeaderList): void {
    if (this.#closed()) return
    if (trailers.length > 0) this.#res.addTrailers(trailers.map(([name, value]) => [name, value] as [string, string]))
    this.#res.end()
  }

  /** Sends a problem, or cuts the connection when a part of an answer was sent. */
  problem (problem: Problem): void {
    sendProblem(this.#res, problem)
  }

  /** Cuts the connection, so that a part is never taken for the whole. */
  cut (): void {
    this.#res.destroy()
  }

  #closed (): boolean {
    return this.#res.destroyed || this.#res.writableEnded
  }
}

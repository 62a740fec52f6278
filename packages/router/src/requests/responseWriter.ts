/** Writes a response to the caller and grants the agent credit as the caller reads it. */
import type { ServerResponse } from 'node:http'
import { CreditBatcher, type HeaderList } from '@fuchsiaworks/wire'
import { endToEndHeaders } from '@fuchsiaworks/wire'
import { type Problem, sendProblem } from '../callers/problem.js'
import type { IdleTimeout } from './idleTimeout.js'

/** Writer of one response, with flow control. */
export class ResponseWriter {
  readonly #res: ServerResponse
  readonly #credit: CreditBatcher

  /**
   * @param res - response to the caller
   * @param grant - called with the number of bytes of credit to grant
   * @param idleTimeout - runs while the send buffer is full and the caller must read before more can be sent
   */
  constructor (res: ServerResponse, grant: (bytes: number) => void, readonly idleTimeout: IdleTimeout) {
    this.#res = res
    this.#credit = new CreditBatcher(grant)
    res.once('close', () => { idleTimeout.stop() })
  }

  writeHead (status: number, headers: HeaderList): void {
    if (this.#isClosed()) return
    this.#res.writeHead(status, endToEndHeaders(headers).flatMap(([name, value]) => [name, value]))
    this.#res.flushHeaders()
  }

  /** Writes a chunk of the body. Credit for it is granted once the send buffer has room again. */
  writeBody (data: Uint8Array): void {
    if (this.#isClosed()) return
    if (this.#res.write(data)) {
      this.#credit.consumeBytes(data.length)
      return
    }
    this.idleTimeout.restart()
    this.#res.once('drain', () => {
      this.idleTimeout.stop()
      this.#credit.consumeBytes(data.length)
    })
  }

  /** Completes the response. */
  end (trailers: HeaderList): void {
    if (this.#isClosed()) return
    if (trailers.length > 0) this.#res.addTrailers(trailers.map(([name, value]) => [name, value] as [string, string]))
    this.#res.end()
  }

  /** Sends a problem, or closes the connection if response headers have already been sent. */
  sendProblem (problem: Problem): void {
    sendProblem(this.#res, problem)
  }

  /** Closes the connection, so that the caller cannot mistake a truncated response for a complete one. */
  abort (): void {
    this.#res.destroy()
  }

  #isClosed (): boolean {
    return this.#res.destroyed || this.#res.writableEnded
  }
}

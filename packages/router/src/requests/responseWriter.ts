/** Writes one answer to its caller and grants credit as the caller takes it. */
import type { ServerResponse } from 'node:http'
import { CreditGrant, type HeaderList } from '@fuchsiaworks/wire'
import { endToEndHeaders } from '@fuchsiaworks/wire'
import { type Problem, sendProblem } from '../callers/problem.js'
import type { IdleTimeout } from './idleTimeout.js'

/** The writing side of one caller's exchange. */
export class ResponseWriter {
  readonly #res: ServerResponse
  readonly #credit: CreditGrant

  /**
   * @param res - the caller's response
   * @param grant - called when the caller has taken more bytes
   * @param idleTimeout - told when the caller has to take bytes before more can be sent
   */
  constructor (res: ServerResponse, grant: (bytes: number) => void, readonly idleTimeout: IdleTimeout) {
    this.#res = res
    this.#credit = new CreditGrant(grant)
    res.once('close', () => { idleTimeout.stop() })
  }

  /** Sends status and headers. */
  writeHead (status: number, headers: HeaderList): void {
    if (this.#isClosed()) return
    this.#res.writeHead(status, endToEndHeaders(headers).flatMap(([name, value]) => [name, value]))
    this.#res.flushHeaders()
  }

  /** Sends a part of the body. */
  writeBody (data: Uint8Array): void {
    if (this.#isClosed()) return
    if (this.#res.write(data)) {
      this.#credit.take(data.length)
      return
    }
    this.idleTimeout.restart()
    this.#res.once('drain', () => {
      this.idleTimeout.stop()
      this.#credit.take(data.length)
    })
  }

  /** Ends the answer. */
  end (trailers: HeaderList): void {
    if (this.#isClosed()) return
    if (trailers.length > 0) this.#res.addTrailers(trailers.map(([name, value]) => [name, value] as [string, string]))
    this.#res.end()
  }

  /** Sends a problem, or cuts the connection when a part of an answer was sent. */
  sendProblem (problem: Problem): void {
    sendProblem(this.#res, problem)
  }

  /** Cuts the connection, so that a part is never taken for the whole. */
  abort (): void {
    this.#res.destroy()
  }

  #isClosed (): boolean {
    return this.#res.destroyed || this.#res.writableEnded
  }
}

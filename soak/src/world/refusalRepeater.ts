/** Fault of an upstream that refuses some requests, and writes a refusal once more while a later request of the same connection runs. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { HEADER } from '@fuchsiaworks/platform-adapter'

/** Refuses every nth request of one upstream, and repeats each refusal once. */
export class RefusalRepeater {
  readonly #refusals = new WeakMap<Socket, string>()
  #arrivals = 0
  /** Attempts that were running while a refusal was repeated. */
  readonly hit: string[] = []

  /**
   * @param everyNth - which requests are refused
   * @param hasId - whether a repeated refusal names the request that it was written for
   */
  constructor (readonly everyNth: number, readonly hasId: boolean) {}

  /** Counts a request; returns whether it is to be refused. */
  countArrival (): boolean {
    this.#arrivals += 1
    return this.#arrivals % this.everyNth === 0
  }

  /** Remembers the refusal that is written on a connection. */
  recordRefusal ({ socket }: ServerResponse, attempt: string): void {
    if (socket === null) return
    const id = this.hasId ? `${HEADER.attemptId}: ${attempt}\r\n` : ''
    this.#refusals.set(socket, `HTTP/1.1 503 Service Unavailable\r\n${HEADER.notExecuted}: 1\r\n${id}content-length: 0\r\n\r\n`)
  }

  /** Writes the refusal of a connection once more, if it had one, while an attempt runs. */
  repeat ({ socket }: ServerResponse, attempt: string): void {
    const refusal = socket === null ? undefined : this.#refusals.get(socket)
    if (socket === null || refusal === undefined) return
    this.#refusals.delete(socket)
    this.hit.push(attempt)
    socket.write(refusal)
  }
}

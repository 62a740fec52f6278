/** Reads a request body: first a bounded prefix, later the rest under credit-based flow control. */
import type { IncomingMessage } from 'node:http'
import type { IdleTimeout } from './idleTimeout.js'

/** Buffered first part of a body. */
export interface BodyPrefix {
  readonly data: Buffer
  /** True when the prefix is the complete body. */
  readonly ended: boolean
}

/** Receives the chunks after the prefix; `ended` is true with the last, empty one. */
export type BodySink = (data: Uint8Array, ended: boolean) => void

/** Reader of one body. Reading is paused whenever the prefix is complete or the credit is used up. */
export class BodyReader {
  readonly #req: IncomingMessage
  #creditBytes = 0
  #sink: BodySink | undefined
  #receivedBytes = 0

  /**
   * @param req - request of the caller
   * @param maxBytes - maximum length of the body
   * @param onTooLarge - called when the body exceeds `maxBytes`
   * @param idleTimeout - runs while the caller is expected to send
   */
  constructor (req: IncomingMessage, readonly maxBytes: number, readonly onTooLarge: () => void, readonly idleTimeout: IdleTimeout) {
    this.#req = req
  }

  /**
   * Reads until the body ends or a minimum is reached, then pauses the request.
   *
   * @param minBytes - reading stops once this number of bytes has been received
   * @returns the prefix; rejects when the caller closes the connection
   */
  readPrefix (minBytes: number): Promise<BodyPrefix> {
    const req = this.#req
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = []
      const stopReading = (ended: boolean): void => {
        req.pause()
        req.off('data', onData).off('end', onEnd).off('close', onClose)
        this.idleTimeout.stop()
        resolve({ data: Buffer.concat(chunks), ended })
      }
      const onData = (chunk: Buffer): void => {
        chunks.push(chunk)
        this.idleTimeout.restart()
        if (!this.#addReceived(chunk)) return
        if (this.#receivedBytes >= minBytes) stopReading(false)
      }
      const onEnd = (): void => { stopReading(true) }
      const onClose = (): void => {
        this.idleTimeout.stop()
        reject(new Error('caller closed the connection before the buffered part of its request body was complete'))
      }
      // An error is followed by 'close', which rejects.
      req.on('data', onData).on('end', onEnd).on('close', onClose).on('error', () => {})
      this.idleTimeout.restart()
      req.resume()
    })
  }

  /**
   * Forwards the rest of the body as credit permits.
   *
   * @param sink - receives the chunks
   * @param credit - initial credit in bytes
   */
  pump (sink: BodySink, credit: number): void {
    this.#sink = sink
    this.#creditBytes = credit
    this.#req.on('data', (chunk: Buffer) => {
      if (!this.#addReceived(chunk)) return
      this.#creditBytes -= chunk.length
      sink(chunk, false)
      if (this.#creditBytes > 0) return this.idleTimeout.restart()
      this.idleTimeout.stop()
      this.#req.pause()
    })
    this.#req.on('end', () => {
      this.idleTimeout.stop()
      sink(new Uint8Array(0), true)
    })
    this.#req.on('close', () => { this.idleTimeout.stop() })
    this.idleTimeout.restart()
    this.#req.resume()
  }

  /**
   * Adds credit and resumes reading.
   *
   * @param bytes - additional credit in bytes
   */
  addCredit (bytes: number): void {
    this.#creditBytes += bytes
    if (this.#sink === undefined || this.#creditBytes <= 0 || this.#req.readableEnded) return
    this.idleTimeout.restart()
    this.#req.resume()
  }

  #addReceived (chunk: Buffer): boolean {
    this.#receivedBytes += chunk.length
    if (this.#receivedBytes <= this.maxBytes) return true
    this.onTooLarge()
    return false
  }
}

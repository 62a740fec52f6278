/** Reads a caller's request body: first a bounded part, later the rest under credit. */
import type { IncomingMessage } from 'node:http'
import type { IdleTimeout } from './idleTimeout.js'

/** First part of a body. */
export interface BodyPrefix {
  readonly data: Buffer
  /** True when this is the whole body. */
  readonly ended: boolean
}

/** Receives the rest of a body. */
export type BodySink = (data: Uint8Array, ended: boolean) => void

/** Reads one body; nothing is read ahead beyond what was asked for. */
export class BodyReader {
  readonly #req: IncomingMessage
  #creditBytes = 0
  #sink: BodySink | undefined
  #receivedBytes = 0

  /**
   * @param req - the caller's request
   * @param maxBytes - longest body that is taken
   * @param onTooLarge - called once when the body is longer
   * @param idleTimeout - told when it is the caller's turn
   */
  constructor (req: IncomingMessage, readonly maxBytes: number, readonly onTooLarge: () => void, readonly idleTimeout: IdleTimeout) {
    this.#req = req
  }

  /**
   * Reads until the body ends or the limit is reached, then stops reading.
   *
   * @param minBytes - bytes to read at least, unless the body ends before
   * @returns what was read; rejects when the caller goes away
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
        reject(new Error('the caller closed the connection'))
      }
      req.on('data', onData).on('end', onEnd).on('close', onClose).on('error', () => {})
      this.idleTimeout.restart()
      req.resume()
    })
  }

  /**
   * Passes on the rest of the body as credit allows.
   *
   * @param sink - receives the parts
   * @param credit - bytes that may be sent before more credit comes
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
   * Allows more bytes.
   *
   * @param bytes - how many more
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

/** Reads a caller's request body: first a bounded part, later the rest under credit. */
import type { IncomingMessage } from 'node:http'
import type { SilenceLimit } from './silenceLimit.js'

/** First part of a body. */
export interface BodyStart {
  readonly data: Buffer
  /** True when this is the whole body. */
  readonly ended: boolean
}

/** Receives the rest of a body. */
export type BodySink = (data: Uint8Array, ended: boolean) => void

/** Reads one body; nothing is read ahead beyond what was asked for. */
export class BodyReader {
  readonly #req: IncomingMessage
  #credit = 0
  #sink: BodySink | undefined
  #received = 0

  /**
   * @param req - the caller's request
   * @param maxBytes - longest body that is taken
   * @param onTooLarge - called once when the body is longer
   * @param silence - told when it is the caller's turn
   */
  constructor (req: IncomingMessage, readonly maxBytes: number, readonly onTooLarge: () => void, readonly silence: SilenceLimit) {
    this.#req = req
  }

  /**
   * Reads until the body ends or the limit is reached, then stops reading.
   *
   * @param limit - bytes to read at least, unless the body ends before
   * @returns what was read; rejects when the caller goes away
   */
  readStart (limit: number): Promise<BodyStart> {
    const req = this.#req
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = []
      const finish = (ended: boolean): void => {
        req.pause()
        req.off('data', onData).off('end', onEnd).off('close', onClose)
        this.silence.close()
        resolve({ data: Buffer.concat(chunks), ended })
      }
      const onData = (chunk: Buffer): void => {
        chunks.push(chunk)
        this.silence.expect()
        if (!this.#count(chunk)) return
        if (this.#received >= limit) finish(false)
      }
      const onEnd = (): void => { finish(true) }
      const onClose = (): void => {
        this.silence.close()
        reject(new Error('the caller closed the connection'))
      }
      req.on('data', onData).on('end', onEnd).on('close', onClose).on('error', () => {})
      this.silence.expect()
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
    this.#credit = credit
    this.#req.on('data', (chunk: Buffer) => {
      if (!this.#count(chunk)) return
      this.#credit -= chunk.length
      sink(chunk, false)
      if (this.#credit > 0) return this.silence.expect()
      this.silence.close()
      this.#req.pause()
    })
    this.#req.on('end', () => {
      this.silence.close()
      sink(new Uint8Array(0), true)
    })
    this.#req.on('close', () => { this.silence.close() })
    this.silence.expect()
    this.#req.resume()
  }

  /**
   * Allows more bytes.
   *
   * @param bytes - how many more
   */
  addCredit (bytes: number): void {
    this.#credit += bytes
    if (this.#sink === undefined || this.#credit <= 0 || this.#req.readableEnded) return
    this.silence.expect()
    this.#req.resume()
  }

  #count (chunk: Buffer): boolean {
    this.#received += chunk.length
    if (this.#received <= this.maxBytes) return true
    this.onTooLarge()
    return false
  }
}

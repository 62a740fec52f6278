/** Keeps a copy of an answer up to a size, so that it can be given again for the same key. */
import type { StoredResponse } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'

/** Collects one answer. */
export class ResponseRecorder {
  #status = 0
  #headers: HeaderList = []
  #chunks: Buffer[] = []
  #bytes = 0

  /** @param limit - bytes above which the body is not kept */
  constructor (readonly limit: number) {}

  head (status: number, headers: HeaderList): void {
    this.#status = status
    this.#headers = headers
  }

  data (data: Buffer): void {
    this.#bytes += data.length
    if (this.#bytes > this.limit) this.#chunks = []
    else this.#chunks.push(data)
  }

  /** @returns the whole answer; its body has length 0 and `complete` is false when it was too large */
  get response (): StoredResponse {
    return { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) }
  }

  /** True while the body is within the limit. */
  get complete (): boolean {
    return this.#bytes <= this.limit
  }
}

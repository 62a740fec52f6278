/** Records a response up to a size limit, for replay to later requests with the same key. */
import type { StoredResponse } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'

/** Recorder of one response. */
export class ResponseRecorder {
  #status = 0
  #headers: HeaderList = []
  #chunks: Buffer[] = []
  #bytes = 0

  /** @param limit - largest body that is recorded, in bytes */
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

  /** The recorded response; valid only while `complete` is true, because a body above the limit is discarded. */
  get response (): StoredResponse {
    return { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) }
  }

  /** False once the body has exceeded the limit. */
  get complete (): boolean {
    return this.#bytes <= this.limit
  }
}

/** Traits of a caller's request by which crashes of upstreams are attributed; hashed when first needed, as most requests need them never. */
import type { PartHash, RequestHash, RequestTraits, StringHash } from '@fuchsiaworks/policy'
import type { CallerRequest } from './callerRequest.js'

/** Traits of one request. */
export class CallerTraits implements RequestTraits {
  #fingerprint: RequestHash | undefined
  #parts: readonly PartHash[] | undefined

  /**
   * @param hash - hash function shared by the fleet
   * @param request - the request
   */
  constructor (readonly hash: StringHash, readonly request: CallerRequest) {}

  get fingerprint (): RequestHash {
    const { workspace, method, target, body } = this.request
    this.#fingerprint ??= this.hash(`${workspace ?? 'public'} ${method} ${target} ${body.toString('latin1')}`)
    return this.#fingerprint
  }

  /** All parts but the last one, which is the request's own. */
  get parts (): readonly PartHash[] {
    this.#parts ??= (this.request.head.prompt?.parts.slice(0, -1) ?? []).map(({ id }) => this.hash(id))
    return this.#parts
  }
}

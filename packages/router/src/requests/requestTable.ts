/** The open requests of this router by id, with counts by workspace. */
import { getOrMake, type RequestId, type ServiceId, type ServiceKey, serviceKey, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { OpenRequest } from './openRequest.js'

/** Open requests; one is removed when its caller has its answer or is gone. */
export class RequestTable {
  readonly #requests = new Map<RequestId, OpenRequest>()
  readonly #byWorkspace = new Map<WorkspaceId, number>()

  /** Number of open requests. */
  get size (): number {
    return this.#requests.size
  }

  /** @returns requests of a workspace that agents hold */
  runningOf (service: ServiceId, workspace: WorkspaceId): number {
    return [...this.#requests.values()]
      .filter(({ holder, facts }) => holder !== undefined && facts.service === service && facts.workspace === workspace).length
  }

  /** @returns open requests of a workspace */
  countOf (workspace: WorkspaceId): number {
    return this.#byWorkspace.get(workspace) ?? 0
  }

  all (): Iterable<OpenRequest> {
    return this.#requests.values()
  }

  add (request: OpenRequest): void {
    const { id, workspace } = request.facts
    this.#requests.set(id, request)
    this.#byWorkspace.set(workspace, getOrMake(this.#byWorkspace, workspace, () => 0) + 1)
  }

  find (id: RequestId): OpenRequest | undefined {
    return this.#requests.get(id)
  }

  /**
   * Finds a request that a link holds. A late message of a link that no longer holds it finds nothing.
   *
   * @param id - the request
   * @param link - where the message came from
   */
  heldBy (id: RequestId, link: FleetLink): OpenRequest | undefined {
    const request = this.#requests.get(id)
    return request?.holder === link ? request : undefined
  }

  /** @returns the requests that a link holds */
  allHeldBy (link: FleetLink): OpenRequest[] {
    return [...this.#requests.values()].filter(request => request.holder === link)
  }

  remove (request: OpenRequest): void {
    const { id, workspace } = request.facts
    if (!this.#requests.delete(id)) return
    const left = this.countOf(workspace) - 1
    if (left > 0) this.#byWorkspace.set(workspace, left)
    else this.#byWorkspace.delete(workspace)
  }
}

/** Key of the request table. */
export const requestTableKey: ServiceKey<RequestTable> = serviceKey('requests')

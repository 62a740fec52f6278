/** The open requests of this router by id, with counts by workspace. */
import { getOrMake, type RequestId, type ServiceId, type ServiceKey, serviceKey, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { OpenRequest } from './openRequest.js'

/** Open requests; one is removed when its caller has its answer or is gone. */
export class RequestTable {
  readonly #requests = new Map<RequestId, OpenRequest>()
  readonly #countsByWorkspace = new Map<WorkspaceId, number>()

  /** Number of open requests. */
  get size (): number {
    return this.#requests.size
  }

  /** @returns requests of a workspace that agents hold */
  countRunning (service: ServiceId, workspace: WorkspaceId): number {
    return [...this.#requests.values()]
      .filter(({ holder, facts }) => holder !== undefined && facts.service === service && facts.workspace === workspace).length
  }

  /** @returns open requests of a workspace */
  countOpen (workspace: WorkspaceId): number {
    return this.#countsByWorkspace.get(workspace) ?? 0
  }

  values (): Iterable<OpenRequest> {
    return this.#requests.values()
  }

  add (request: OpenRequest): void {
    const { id, workspace } = request.facts
    this.#requests.set(id, request)
    this.#countsByWorkspace.set(workspace, getOrMake(this.#countsByWorkspace, workspace, () => 0) + 1)
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
  findHeldBy (id: RequestId, link: FleetLink): OpenRequest | undefined {
    const request = this.#requests.get(id)
    return request?.holder === link ? request : undefined
  }

  /** @returns the requests that a link holds */
  listHeldBy (link: FleetLink): OpenRequest[] {
    return [...this.#requests.values()].filter(request => request.holder === link)
  }

  remove (request: OpenRequest): void {
    const { id, workspace } = request.facts
    if (!this.#requests.delete(id)) return
    const remaining = this.countOpen(workspace) - 1
    if (remaining > 0) this.#countsByWorkspace.set(workspace, remaining)
    else this.#countsByWorkspace.delete(workspace)
  }
}

/** Key of the request table. */
export const requestTableKey: ServiceKey<RequestTable> = serviceKey('requests')

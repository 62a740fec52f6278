/** Table of the open requests of this router, indexed by id and counted by workspace. */
import { getOrMake, type RequestId, type ServiceId, type ServiceKey, serviceKey, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetLink } from '@fuchsiaworks/fleet'
import type { OpenRequest } from './openRequest.js'

/** Open requests. A request is removed when its response is complete or its caller has disconnected. */
export class RequestTable {
  readonly #requests = new Map<RequestId, OpenRequest>()
  readonly #countsByWorkspace = new Map<WorkspaceId, number>()

  get size (): number {
    return this.#requests.size
  }

  /** @returns number of requests of a workspace for a service that are held by agents */
  countRunning (service: ServiceId, workspace: WorkspaceId): number {
    return [...this.#requests.values()]
      .filter(({ holder, facts }) => holder !== undefined && facts.service === service && facts.workspace === workspace).length
  }

  /** @returns number of open requests of a workspace */
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
   * Finds a request held by the agent at the other end of a link. Filters out late messages from an agent that no longer holds
   * the request.
   *
   * @param id - id of the request
   * @param link - link on which the message was received
   */
  findHeldBy (id: RequestId, link: FleetLink): OpenRequest | undefined {
    const request = this.#requests.get(id)
    return request?.holder === link ? request : undefined
  }

  /** @returns the requests held by the agent at the other end of a link */
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

export const requestTableKey: ServiceKey<RequestTable> = serviceKey('requests')

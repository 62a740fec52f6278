/** Finds the workspace of a caller by its bearer key. */
import { createHash } from 'node:crypto'
import type { WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetConfig } from '@fuchsiaworks/settings'

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i

/** Workspaces by the SHA-256 of their keys; looking up a digest takes the same time for every key. */
export class IdentityIndex {
  readonly #workspacesByDigest = new Map<string, WorkspaceId>()

  /** @param config - the configuration in force */
  constructor (config: FleetConfig) {
    for (const [workspace, { keys }] of Object.entries(config.workspaces)) {
      for (const key of keys) this.#workspacesByDigest.set(key, workspace as WorkspaceId)
    }
  }

  /**
   * Finds the workspace of a request.
   *
   * @param authorization - value of the Authorization header
   * @returns the workspace, or undefined when the key is missing or unknown
   */
  find (authorization: string | undefined): WorkspaceId | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1]
    if (key === undefined) return undefined
    return this.#workspacesByDigest.get(createHash('sha256').update(key).digest('hex'))
  }
}

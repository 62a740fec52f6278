/** Authenticates callers: maps a bearer key to its workspace. */
import { createHash } from 'node:crypto'
import type { WorkspaceId } from '@fuchsiaworks/kernel'
import type { FleetConfig } from '@fuchsiaworks/settings'

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i

/** Workspaces by the SHA-256 digests of their keys. Hashing before the lookup keeps its timing independent of the stored keys. */
export class IdentityIndex {
  readonly #workspacesByDigest = new Map<string, WorkspaceId>()

  /** @param config - the active configuration */
  constructor (config: FleetConfig) {
    for (const [workspace, { keys }] of Object.entries(config.workspaces)) {
      for (const key of keys) this.#workspacesByDigest.set(key, workspace as WorkspaceId)
    }
  }

  /**
   * Finds the workspace of a caller.
   *
   * @param authorization - value of the Authorization header
   * @returns the workspace; undefined when the key is missing or unknown
   */
  find (authorization: string | undefined): WorkspaceId | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1]
    if (key === undefined) return undefined
    return this.#workspacesByDigest.get(createHash('sha256').update(key).digest('hex'))
  }
}

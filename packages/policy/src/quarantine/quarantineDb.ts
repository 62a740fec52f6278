/** Suspects and refused requests, each bounded by workspace. */
import { type Fingerprint, getOrMake, type Millis, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { QuarantineConfig, RefusedRequest, RequestFingerprint } from './quarantineTypes.js'

/** What speaks against a request. */
export interface Suspicion {
  /** Names of the crashes that it ran in. */
  readonly crashes: Set<string>
  /** True once an upstream ended that ran nothing else. */
  alone: boolean
  until: Millis
}

interface WorkspaceTable {
  readonly suspects: Map<Fingerprint, Suspicion>
  /** Monotonic milliseconds until which a request is refused. */
  readonly refused: Map<Fingerprint, Millis>
}

/** What one router knows of requests that end upstreams. */
export class QuarantineDb {
  readonly #workspaces = new Map<WorkspaceId, WorkspaceTable>()

  /** @param config - bounds */
  constructor (readonly config: QuarantineConfig) {}

  /** Number of suspects and refused requests. */
  get size (): number {
    return [...this.#workspaces.values()].reduce((sum, table) => sum + table.suspects.size + table.refused.size, 0)
  }

  suspicion (print: RequestFingerprint, now: Millis): Suspicion | undefined {
    const found = this.#workspaces.get(print.workspace)?.suspects.get(print.fingerprint)
    return found !== undefined && found.until > now ? found : undefined
  }

  /** @returns milliseconds for which the request is still refused; 0 when it is not */
  remaining (print: RequestFingerprint, now: Millis): Millis {
    const until = this.#workspaces.get(print.workspace)?.refused.get(print.fingerprint) ?? now
    return Math.max(0, until - now)
  }

  /** @returns every request that is refused now */
  refusedRequests (now: Millis): RefusedRequest[] {
    return [...this.#workspaces].flatMap(([workspace, { refused }]) =>
      [...refused].filter(([, until]) => until > now)
        .map(([fingerprint, until]) => ({ workspace, fingerprint, remainingMs: until - now })))
  }

  /** Adds a crash; suspicions beyond the bound of the workspace push out the oldest. */
  addCrash (print: RequestFingerprint, crash: string, alone: boolean, now: Millis): Suspicion {
    const { suspects } = this.#table(print.workspace)
    const found = this.suspicion(print, now) ?? { crashes: new Set<string>(), alone: false, until: now }
    if (found.crashes.size < this.config.crashes) found.crashes.add(crash)
    found.alone ||= alone
    found.until = now + this.config.suspectMs
    suspects.delete(print.fingerprint)
    suspects.set(print.fingerprint, found)
    if (suspects.size > this.config.maxPerWorkspace) deleteFirst(suspects)
    return found
  }

  clear (print: RequestFingerprint): void {
    this.#workspaces.get(print.workspace)?.suspects.delete(print.fingerprint)
  }

  /**
   * Refuses a request for a while; the larger remaining time holds.
   *
   * @returns true when the request was not refused before
   */
  refuse (print: RequestFingerprint, span: Millis, now: Millis): boolean {
    const before = this.remaining(print, now)
    const { refused } = this.#table(print.workspace)
    const after = Math.min(this.config.refuseMs, Math.max(before, span))
    refused.delete(print.fingerprint)
    refused.set(print.fingerprint, now + after)
    this.clear(print)
    if (refused.size > this.config.maxPerWorkspace) deleteFirst(refused)
    return before === 0
  }

  expire (now: Millis): void {
    for (const [workspace, table] of this.#workspaces) {
      for (const [print, suspicion] of table.suspects) if (suspicion.until <= now) table.suspects.delete(print)
      for (const [print, until] of table.refused) if (until <= now) table.refused.delete(print)
      if (table.suspects.size + table.refused.size === 0) this.#workspaces.delete(workspace)
    }
  }

  #table (workspace: WorkspaceId): WorkspaceTable {
    return getOrMake(this.#workspaces, workspace, () => ({ suspects: new Map(), refused: new Map() }))
  }
}

const deleteFirst = <K>(map: Map<K, unknown>): void => {
  const [first] = map.keys()
  if (first !== undefined) map.delete(first)
}

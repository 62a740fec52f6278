/** Suspects and refused requests, with an upper bound on the number of each in one workspace. */
import { type Fingerprint, getOrMake, type Millis, type WorkspaceId } from '@fuchsiaworks/kernel'
import type { QuarantineConfig, RefusedRequest, RequestFingerprint } from './quarantineTypes.js'

/** Record of the crashes during which a suspect was running. */
export interface Suspicion {
  /** Identifiers of the crashes. */
  readonly crashes: Set<string>
  /** True once the request was the only one running at a crashed upstream. */
  alone: boolean
  /** Monotonic milliseconds at which the suspicion expires. */
  until: Millis
}

interface WorkspaceTable {
  readonly suspects: Map<Fingerprint, Suspicion>
  /** Monotonic milliseconds until which each request is refused. */
  readonly refused: Map<Fingerprint, Millis>
}

/** State of the quarantine at one router. */
export class QuarantineDb {
  readonly #workspaces = new Map<WorkspaceId, WorkspaceTable>()

  /** @param config - thresholds, expiry times and bounds */
  constructor (readonly config: QuarantineConfig) {}

  /** Number of suspects and refused requests. */
  get size (): number {
    return [...this.#workspaces.values()].reduce((sum, table) => sum + table.suspects.size + table.refused.size, 0)
  }

  suspicion (request: RequestFingerprint, now: Millis): Suspicion | undefined {
    const suspicion = this.#workspaces.get(request.workspace)?.suspects.get(request.fingerprint)
    return suspicion !== undefined && suspicion.until > now ? suspicion : undefined
  }

  /** @returns milliseconds for which the request is still refused; 0 when it is not refused */
  remaining (request: RequestFingerprint, now: Millis): Millis {
    const until = this.#workspaces.get(request.workspace)?.refused.get(request.fingerprint) ?? now
    return Math.max(0, until - now)
  }

  /** @returns the requests that are refused now */
  refusedRequests (now: Millis): RefusedRequest[] {
    return [...this.#workspaces].flatMap(([workspace, { refused }]) =>
      [...refused].filter(([, until]) => until > now)
        .map(([fingerprint, until]) => ({ workspace, fingerprint, remainingMs: until - now })))
  }

  /** Adds a crash of a request; beyond the bound of the workspace, the suspect with the oldest last crash is dropped. */
  addCrash (request: RequestFingerprint, crash: string, alone: boolean, now: Millis): Suspicion {
    const { suspects } = this.#table(request.workspace)
    const suspicion = this.suspicion(request, now) ?? { crashes: new Set<string>(), alone: false, until: now }
    if (suspicion.crashes.size < this.config.crashes) suspicion.crashes.add(crash)
    suspicion.alone ||= alone
    suspicion.until = now + this.config.suspectMs
    suspects.delete(request.fingerprint)
    suspects.set(request.fingerprint, suspicion)
    if (suspects.size > this.config.maxPerWorkspace) deleteOldest(suspects)
    return suspicion
  }

  clear (request: RequestFingerprint): void {
    this.#workspaces.get(request.workspace)?.suspects.delete(request.fingerprint)
  }

  /**
   * Refuses a request for a time span, unless a longer one already remains; `refuseMs` is the maximum, also for times from peers.
   *
   * @returns true when the request was not already refused
   */
  refuse (request: RequestFingerprint, durationMs: Millis, now: Millis): boolean {
    const remainingBefore = this.remaining(request, now)
    const { refused } = this.#table(request.workspace)
    const remainingAfter = Math.min(this.config.refuseMs, Math.max(remainingBefore, durationMs))
    refused.delete(request.fingerprint)
    refused.set(request.fingerprint, now + remainingAfter)
    this.clear(request)
    if (refused.size > this.config.maxPerWorkspace) deleteOldest(refused)
    return remainingBefore === 0
  }

  expire (now: Millis): void {
    for (const [workspace, table] of this.#workspaces) {
      for (const [fingerprint, suspicion] of table.suspects) if (suspicion.until <= now) table.suspects.delete(fingerprint)
      for (const [fingerprint, until] of table.refused) if (until <= now) table.refused.delete(fingerprint)
      if (table.suspects.size + table.refused.size === 0) this.#workspaces.delete(workspace)
    }
  }

  #table (workspace: WorkspaceId): WorkspaceTable {
    return getOrMake(this.#workspaces, workspace, () => ({ suspects: new Map(), refused: new Map() }))
  }
}

const deleteOldest = <K>(map: Map<K, unknown>): void => {
  const [first] = map.keys()
  if (first !== undefined) map.delete(first)
}

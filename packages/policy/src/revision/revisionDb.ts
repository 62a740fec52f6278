/** The newest accepted revision, what peers have, and whether the configuration service is watched. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { RevisionConfig } from './revisionTypes.js'

/** What is known of a peer. */
export interface PeerRevision {
  /** Largest revision that the peer has, or that was sent to it; 0 when unknown. */
  known: number
  /** When documents were last asked for. */
  askedAt: Millis
}

/** Revisions as one process sees them. */
export class RevisionDb {
  /** The revision in force; 0 before the first. */
  accepted = 0
  readonly peers = new Map<string, PeerRevision>()
  watching = false
  /** When the next watch begins; undefined while none is planned. */
  watchAt: Millis | undefined
  readonly #refused = new Set<number>()

  /** @param config - settings */
  constructor (readonly config: RevisionConfig) {
    this.watchAt = config.alwaysWatch ? 0 : undefined
  }

  isRefused (revision: number): boolean {
    return this.#refused.has(revision)
  }

  /** Remembers a revision that had findings. */
  refuse (revision: number): void {
    this.#refused.add(revision)
    if (this.#refused.size > this.config.maxRefused) this.#refused.delete(Math.min(...this.#refused))
  }

  /** @returns the revision above which documents are of use */
  get floor (): number {
    return Math.max(this.accepted, ...this.#refused)
  }
}

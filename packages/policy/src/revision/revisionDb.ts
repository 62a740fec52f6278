/** The newest accepted revision, what peers have, and whether the configuration service is watched. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { RevisionConfig } from './revisionTypes.js'

/** A question that is not answered yet. */
export interface OpenQuestion {
  readonly link: string
  readonly at: Millis
}

/** Revisions as one process sees them. */
export class RevisionDb {
  /** The revision in force; 0 before the first. */
  accepted = 0
  /** Largest revision that each linked peer has, or was told; 0 when unknown. */
  readonly peers = new Map<string, number>()
  /** Whom documents were asked of; one peer at a time. */
  pendingRequest: OpenQuestion | undefined
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

  /** Notes that a peer has a revision, or was told of it. */
  raisePeer (link: string, revision: number): void {
    this.peers.set(link, Math.max(this.peers.get(link) ?? 0, revision))
  }

  /** @returns links whose peers have documents of use, the one that was asked last at the end */
  linksAhead (): string[] {
    const ahead = [...this.peers].filter(([, known]) => known > this.accepted && !this.isRefused(known)).map(([link]) => link)
    const asked = this.pendingRequest?.link
    return [...ahead.filter(link => link !== asked), ...ahead.filter(link => link === asked)]
  }

  /** @returns the revision above which documents are of use */
  get floor (): number {
    return Math.max(this.accepted, ...this.#refused)
  }
}

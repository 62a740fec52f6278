/** The accepted revision, the revisions of peers, and whether the configuration service is watched. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { RevisionConfig } from './revisionTypes.js'

/** A request for documents without a reply yet. */
export interface PendingRequest {
  readonly link: string
  readonly at: Millis
}

/** Revisions known to one process. */
export class RevisionDb {
  /** The applied revision; 0 before the first. */
  accepted = 0
  /** Highest revision that each linked peer has or was sent; 0 when unknown. */
  readonly peers = new Map<string, number>()
  /** The open request for documents; they are requested from one peer at a time. */
  pendingRequest: PendingRequest | undefined
  watching = false
  /** When the next watch starts; undefined while none is scheduled. */
  watchAt: Millis | undefined
  readonly #refused = new Set<number>()

  /** @param config - settings */
  constructor (readonly config: RevisionConfig) {
    this.watchAt = config.alwaysWatch ? 0 : undefined
  }

  isRefused (revision: number): boolean {
    return this.#refused.has(revision)
  }

  /** Records a revision that was refused for its findings, so that it is not requested again. Beyond the limit, the lowest one is dropped. */
  refuse (revision: number): void {
    this.#refused.add(revision)
    if (this.#refused.size > this.config.maxRefused) this.#refused.delete(Math.min(...this.#refused))
  }

  /** Records that a peer has a revision or was sent it. */
  raisePeerRevision (link: string, revision: number): void {
    this.peers.set(link, Math.max(this.peers.get(link) ?? 0, revision))
  }

  /** @returns links of peers with a newer revision that was not refused; the link of the pending request comes last */
  linksWithNewer (): string[] {
    const ahead = [...this.peers].filter(([, known]) => known > this.accepted && !this.isRefused(known)).map(([link]) => link)
    const lastRequested = this.pendingRequest?.link
    return [...ahead.filter(link => link !== lastRequested), ...ahead.filter(link => link === lastRequested)]
  }

  /** The highest accepted or refused revision; the configuration service is watched for revisions above this one. */
  get floor (): number {
    return Math.max(this.accepted, ...this.#refused)
  }
}

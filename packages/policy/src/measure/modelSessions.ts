/** Sessions of the model: which pairs of processes are linked, when sessions end, and which messages are lost with them. */
import type { Millis } from '@fuchsiaworks/kernel'
import { type ModelLinks, SESSION_EXPIRY_MS } from './modelLinks.js'
import { ModelAgent, type ModelProcess, ModelRouter } from './modelProcess.js'

/** Callbacks for changes of sessions. */
export interface SessionHooks {
  /** Called once for a new session, on behalf of both ends. */
  readonly opened: (router: ModelRouter, other: ModelProcess) => void
  /** Called once for each of the two processes of a session that has ended. */
  readonly ended: (process: ModelProcess, peer: string) => void
}

/** Open sessions between processes, by the names of the two. */
export class ModelSessions {
  readonly #open = new Set<string>()

  constructor (readonly links: ModelLinks, readonly find: (name: string) => ModelProcess | undefined, readonly hooks: SessionHooks) {}

  /** @returns whether a session is open between two processes */
  isOpen (one: string, other: string): boolean {
    return this.#open.has(`${one}>${other}`) || this.#open.has(`${other}>${one}`)
  }

  /** Ends all sessions of a process, or only the one with `other`. */
  end (name: string, other?: string): void {
    for (const key of [...this.#open]) {
      const [one = '', two = ''] = key.split('>')
      const ends = [one, two]
      if (!ends.includes(name) || (other !== undefined && !ends.includes(other))) continue
      this.#open.delete(key)
      this.#notifyEnded(one, two)
      this.#notifyEnded(two, one)
    }
  }

  /** Opens the sessions that are possible, and ends those that are partitioned now and were so one session expiry ago. */
  connect (routers: Iterable<ModelRouter>, processes: readonly ModelProcess[], now: Millis): void {
    for (const router of routers) {
      for (const other of processes) {
        if (other.name === router.name || (other instanceof ModelRouter && other.name > router.name)) continue
        this.#connectPair(router, other, now)
      }
    }
  }

  /** Sends a message within a session; it is lost when the session has ended or either end has restarted before delivery. */
  send (from: ModelProcess, to: string, receive: (to: ModelProcess) => void): void {
    const receiver = this.find(to)
    this.links.send(from.name, to, () => {
      if (receiver === undefined || !this.isOpen(from.name, to)) return
      if (this.find(to) === receiver && this.find(from.name) === from) receive(receiver)
    })
  }

  #connectPair (router: ModelRouter, other: ModelProcess, now: Millis): void {
    const partitioned = this.links.isPartitioned(router.name, other.name)
    if (this.isOpen(router.name, other.name)) {
      if (partitioned && this.links.isPartitioned(router.name, other.name, now - SESSION_EXPIRY_MS)) this.end(router.name, other.name)
      return
    }
    if (other instanceof ModelAgent && !other.routers.has(router.name) && !other.dialled.has(router.name)) return
    if (partitioned || this.links.isPaused(router.name) || this.links.isPaused(other.name)) return
    this.#open.add(`${router.name}>${other.name}`)
    this.hooks.opened(router, other)
  }

  #notifyEnded (name: string, peer: string): void {
    const process = this.find(name)
    if (process !== undefined) this.hooks.ended(process, peer)
  }
}

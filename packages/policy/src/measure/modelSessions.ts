/** Sessions of the model: which pairs of processes are linked, when they end, and what is lost with them. */
import type { Millis } from '@fuchsiaworks/kernel'
import { type ModelLinks, SESSION_EXPIRY_MS } from './modelLinks.js'
import { ModelAgent, type ModelProcess, ModelRouter } from './modelProcess.js'

/** What follows from a change of a session. */
export interface SessionHooks {
  /** Both ends learn of a new session. */
  readonly joined: (router: ModelRouter, other: ModelProcess) => void
  /** One end learns that its session has ended. */
  readonly lost: (process: ModelProcess, peer: string) => void
}

/** Open sessions between processes by name. */
export class ModelSessions {
  readonly #open = new Set<string>()

  constructor (readonly links: ModelLinks, readonly find: (name: string) => ModelProcess | undefined, readonly hooks: SessionHooks) {}

  /** @returns whether a session is open between two processes */
  isOpen (one: string, other: string): boolean {
    return this.#open.has(`${one}>${other}`) || this.#open.has(`${other}>${one}`)
  }

  /** Ends the sessions of a process, or the one with another process. */
  end (name: string, other?: string): void {
    for (const key of [...this.#open]) {
      const [one = '', two = ''] = key.split('>')
      const ends = [one, two]
      if (!ends.includes(name) || (other !== undefined && !ends.includes(other))) continue
      this.#open.delete(key)
      this.#notifyLost(one, two)
      this.#notifyLost(two, one)
    }
  }

  /** Opens the sessions that can be open, and ends those that were cut for longer than their expiry. */
  connect (routers: Iterable<ModelRouter>, processes: readonly ModelProcess[], now: Millis): void {
    for (const router of routers) {
      for (const other of processes) {
        if (other.name === router.name || (other instanceof ModelRouter && other.name > router.name)) continue
        this.#connectPair(router, other, now)
      }
    }
  }

  /** Carries a message within a session; it is lost when the session or either end has gone meanwhile. */
  send (from: ModelProcess, to: string, receive: (to: ModelProcess) => void): void {
    const receiver = this.find(to)
    this.links.send(from.name, to, () => {
      if (receiver === undefined || !this.isOpen(from.name, to)) return
      if (this.find(to) === receiver && this.find(from.name) === from) receive(receiver)
    })
  }

  #connectPair (router: ModelRouter, other: ModelProcess, now: Millis): void {
    const cut = this.links.isPartitioned(router.name, other.name)
    if (this.isOpen(router.name, other.name)) {
      if (cut && this.links.isPartitioned(router.name, other.name, now - SESSION_EXPIRY_MS)) this.end(router.name, other.name)
      return
    }
    if (other instanceof ModelAgent && !other.routers.has(router.name) && !other.dialled.has(router.name)) return
    if (cut || this.links.isPaused(router.name) || this.links.isPaused(other.name)) return
    this.#open.add(`${router.name}>${other.name}`)
    this.hooks.joined(router, other)
  }

  #notifyLost (name: string, peer: string): void {
    const process = this.find(name)
    if (process !== undefined) this.hooks.lost(process, peer)
  }
}

/** Records measurements of a run of the model. */
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { AdmissionDb } from '../admission/admissionDb.js'
import type { ModelLinks } from './modelLinks.js'
import type { ModelAgent, ModelRouter } from './modelProcess.js'
import type { ModelResult, ModelSample } from './modelTypes.js'

/** Counters and samples of one run. */
export class ModelRecord {
  readonly served = new Map<string, number>()
  readonly #refusals = new Map<string, number>()
  readonly #longestWait = new Map<string, number>()
  readonly #bytes = new Map<string, number>()
  readonly #samples: ModelSample[] = []
  #idle = 0
  #slotTime = 0
  pulls = 0
  handovers = 0

  countService (workspace: WorkspaceId, service: ServiceId, amount: number): void {
    add(this.served, `${workspace}/${service}`, amount)
  }

  countRefusal (workspace: WorkspaceId): void {
    add(this.#refusals, workspace, 1)
  }

  countWait (workspace: WorkspaceId, wait: Millis): void {
    this.#longestWait.set(workspace, Math.max(this.#longestWait.get(workspace) ?? 0, wait))
  }

  countBytes (process: string, bytes: number): void {
    add(this.#bytes, process, bytes)
  }

  /** Counts one millisecond of every slot, and as idle the free slots of agents that can reach a router with a waiting request. */
  countSlots (routers: Iterable<ModelRouter>, agents: Iterable<ModelAgent>, slots: number, links: ModelLinks): void {
    const waiting = [...routers].filter(({ name }) => !links.isPaused(name))
      .map(({ name, admission }) => ({ name, services: new Set([...admission.services()].filter(service => hasWaiting(admission, service))) }))
    for (const { name, service, running } of agents) {
      this.#slotTime += slots
      const isReachable = waiting.some(router => router.services.has(service) && !links.isPartitioned(name, router.name))
      if (isReachable && !links.isPaused(name)) this.#idle += slots - running.size
    }
  }

  sample (routers: Iterable<ModelRouter>, at: Millis): void {
    const waiting = new Set<string>()
    for (const { admission } of routers) {
      for (const service of admission.services()) {
        for (const { workspace, size } of admission.queuesOf(service)) if (size > 0) waiting.add(`${workspace}/${service}`)
      }
    }
    this.#samples.push({ at, served: new Map(this.served), waiting })
  }

  /** @returns the result of a run of this duration */
  result (duration: Millis): ModelResult {
    return {
      samples: this.#samples,
      idleShare: this.#slotTime === 0 ? 0 : this.#idle / this.#slotTime,
      pulls: this.pulls,
      handovers: this.handovers,
      refusals: this.#refusals,
      longestWait: this.#longestWait,
      counterBytes: Math.max(0, ...this.#bytes.values()) * 1000 / duration
    }
  }
}

const add = (counts: Map<string, number>, key: string, amount: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

const hasWaiting = (admission: AdmissionDb, service: ServiceId): boolean => {
  for (const { size } of admission.queuesOf(service)) if (size > 0) return true
  return false
}

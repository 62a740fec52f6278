/** Selects the agents that receive an update of a changed backlog now, so that a few requests do not wake every idle agent. */
import type { Millis } from '@fuchsiaworks/kernel'
import { tieRank } from '../dispatch/tieRank.js'

/** Free slots notified at once for each waiting request. */
const SLOTS_PER_REQUEST = 2

/** Milliseconds between two waves of updates to idle agents, and between two updates to the same busy agent. */
export const RESEND_INTERVAL_MS = 5

/** State of an agent as last reported to the router. */
export interface BacklogRecipient {
  readonly link: string
  /** Concurrency limit minus running requests, from the agent's last state message. */
  readonly free: number
  /** Monotonic time of the last update sent to the agent about this service. */
  readonly lastSentAt: Millis
  /** True when the backlog has changed since that update. */
  readonly outOfDate: boolean
}

/**
 * Selects the agents to which a service's backlog is sent. Agents with free slots are notified in waves, each with up to
 * twice as many slots as waiting requests, in an order that changes with time. Agents without a free slot receive at most
 * one update per RESEND_INTERVAL_MS. Call this after each change, and every RESEND_INTERVAL_MS while any agent is out of date.
 *
 * @param agents - all linked agents of the service that accept requests
 * @param waiting - number of queued requests
 * @param seed - seed of this router; together with `now` it determines the order of agents
 * @param now - monotonic time in milliseconds
 * @returns links to which an update is sent now
 */
export const selectBacklogRecipients = (agents: readonly BacklogRecipient[], waiting: number, seed: number, now: Millis): string[] => {
  const notifiedRecently = agents.filter(({ lastSentAt }) => now - lastSentAt < RESEND_INTERVAL_MS)
  const busy = agents.filter(agent => agent.outOfDate && agent.free <= 0 && !notifiedRecently.includes(agent))
  const rank = ({ link }: BacklogRecipient): number => tieRank(seed, `${link} ${now}`)
  const idle = agents.filter(({ outOfDate, free }) => outOfDate && free > 0).sort((a, b) => rank(a) - rank(b))
  const notifiedSlots = notifiedRecently.reduce((sum, { outOfDate, free }) => outOfDate ? sum : sum + Math.max(0, free), 0)
  const nextWave = selectAgentsForSlots(idle, waiting * SLOTS_PER_REQUEST - notifiedSlots)
  return [...busy, ...nextWave].map(({ link }) => link)
}

const selectAgentsForSlots = (idle: readonly BacklogRecipient[], slots: number): BacklogRecipient[] => {
  let remaining = slots
  return idle.filter(({ free }) => {
    if (remaining <= 0) return false
    remaining -= free
    return true
  })
}

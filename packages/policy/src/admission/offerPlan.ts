/** Chooses which agents a router tells of a changed backlog now, so that a few requests do not wake every idle agent. */
import type { Millis } from '@fuchsiaworks/kernel'
import { tieRank } from '../dispatch/tieRank.js'

/** Free slots that are told of each waiting request at once. */
const SLOTS_PER_REQUEST = 2

/** Milliseconds between two waves to idle agents, and between two messages to one busy agent. */
export const RESEND_INTERVAL_MS = 5

/** An agent as the router knows it. */
export interface BacklogRecipient {
  readonly link: string
  /** Limit less running requests, by its last state message. */
  readonly free: number
  /** Reading at which it was told of this service last. */
  readonly lastSentAt: Millis
  /** True when the backlog has changed since. */
  readonly outOfDate: boolean
}

/**
 * Chooses the agents to tell of a service's backlog. Agents with free slots are told in waves, each of up to twice
 * the waiting requests, in an order that changes with time; agents without a free slot are told at most once in
 * RETELL_MS. Call it after each change, and each RETELL_MS while any agent is out of date.
 *
 * @param targets - every linked agent of the service that could take work
 * @param waiting - requests that wait
 * @param seed - of this router; with the reading it decides who comes first
 * @param now - monotonic reading
 * @returns links to tell now
 */
export const selectBacklogRecipients = (targets: readonly BacklogRecipient[], waiting: number, seed: number, now: Millis): string[] => {
  const recent = targets.filter(({ lastSentAt: toldAt }) => now - toldAt < RESEND_INTERVAL_MS)
  const busy = targets.filter(target => target.outOfDate && target.free <= 0 && !recent.includes(target))
  const rank = ({ link }: BacklogRecipient): number => tieRank(seed, `${link} ${now}`)
  const idle = targets.filter(({ outOfDate, free }) => outOfDate && free > 0).sort((a, b) => rank(a) - rank(b))
  const announcedSlots = recent.reduce((sum, { outOfDate, free }) => outOfDate ? sum : sum + Math.max(0, free), 0)
  const nextWave = takeUntilCovered(idle, waiting * SLOTS_PER_REQUEST - announcedSlots)
  return [...busy, ...nextWave].map(({ link }) => link)
}

const takeUntilCovered = (idle: readonly BacklogRecipient[], slots: number): BacklogRecipient[] => {
  let remaining = slots
  return idle.filter(({ free }) => {
    if (remaining <= 0) return false
    remaining -= free
    return true
  })
}

/** Account of one workspace at one service: tallies of its virtual cost by origin, the folded base, and the lift. */
import type { Incarnation, Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import { DecayingSum } from './decayingSum.js'
import { addTally, isZeroTally, maxTally, netOf, ZERO_TALLY, subtractTally, type Tally } from './tally.js'

/** Half-life of recent service in milliseconds. */
const RECENT_SERVICE_HALF_LIFE_MS = 2_000

/** Tally of one origin, with the sequence number of its last change in this process. */
export interface OriginTally {
  tally: Tally
  /** Sequence number of the last change. */
  seq: number
  /** Link over which the last change was received; undefined for changes made by this process. */
  source: string | undefined
}

/** Service counters of one workspace at one service. */
export class FairnessAccount {
  readonly origins = new Map<Incarnation, OriginTally>()
  /** Sum of the tallies of all origins. */
  sum: Tally = ZERO_TALLY
  /** Sum of the folded origins, in virtual cost. */
  base = 0
  lift = 0
  /** Sequence number of the last increase of the lift. */
  liftSeq = 0
  /** Link over which the lift was received; undefined when this process raised it. */
  liftSource: string | undefined
  /** Recent service given by all processes, in virtual cost. */
  readonly recentService = new DecayingSum(RECENT_SERVICE_HALF_LIFE_MS)
  /** Recent charges of this process, in virtual cost; the charges of other processes from the same time have not arrived yet. */
  unmatchedCharges = 0
  /** Monotonic time at which the workspace was last known to have a backlog. */
  backloggedAt: Millis = Number.NEGATIVE_INFINITY

  constructor (readonly service: ServiceId, readonly workspace: WorkspaceId) {}

  /** Service received, in virtual cost. */
  get served (): number {
    return this.base + netOf(this.sum)
  }

  get virtualTime (): number {
    return this.served + this.lift
  }

  /** @returns the tally of an origin */
  tallyOf (origin: Incarnation): Tally {
    return this.origins.get(origin)?.tally ?? ZERO_TALLY
  }

  /**
   * Merges the tally of an origin by the maximum of each part.
   *
   * @param origin - origin of the tally
   * @param next - tally with its sequence number
   * @returns the increase
   */
  mergeTally (origin: Incarnation, next: OriginTally): Tally {
    const known = this.tallyOf(origin)
    const tally = maxTally(known, next.tally)
    const increase = subtractTally(tally, known)
    if (isZeroTally(increase)) return increase
    this.origins.set(origin, { ...next, tally })
    this.sum = addTally(this.sum, increase)
    return increase
  }

  /**
   * Removes a part of an origin's tally, or all of it.
   *
   * @returns the removed part
   */
  removeTally (origin: Incarnation, part: Tally = this.tallyOf(origin)): Tally {
    const known = this.origins.get(origin)
    if (known === undefined) return ZERO_TALLY
    known.tally = subtractTally(known.tally, part)
    if (isZeroTally(known.tally)) this.origins.delete(origin)
    this.sum = subtractTally(this.sum, part)
    return part
  }
}

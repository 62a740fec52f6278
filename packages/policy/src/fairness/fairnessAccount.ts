/** Service of one workspace by one service: totals by origin, the folded base, and the lift. */
import type { Incarnation, Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import { DecayingSum } from './decayingSum.js'
import { addTally, isZeroTally, maxTally, netOf, ZERO_TALLY, subtractTally, type Tally } from './tally.js'

/** Milliseconds after which service counts half in the recent service of a workspace. */
const RECENT_SERVICE_HALF_LIFE_MS = 2_000

/** Tally of one origin, with the place of its last change in this process's order of changes. */
export interface OriginTally {
  tally: Tally
  /** Rising number of the last change. */
  seq: number
  /** Link that told the last change; undefined for own changes. */
  source: string | undefined
}

/** All that is known of one workspace at one service. */
export class FairnessAccount {
  readonly origins = new Map<Incarnation, OriginTally>()
  /** Sum of the origins. */
  sum: Tally = ZERO_TALLY
  /** Sum of the folded origins, in virtual cost. */
  base = 0
  lift = 0
  /** Rising number of the last raise of the lift. */
  liftSeq = 0
  /** Link that told the lift. */
  liftSource: string | undefined
  /** Recent service by all processes, in virtual cost. */
  readonly recentService = new DecayingSum(RECENT_SERVICE_HALF_LIFE_MS)
  /** Own charges of the last moments, in virtual cost. */
  unmatchedCharges = 0
  /** Reading at which a backlog was last known. */
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
   * Merges the tally of an origin by the largest values.
   *
   * @param origin - whose tally
   * @param next - the tally with its place in the order of changes
   * @returns by how much it grew
   */
  mergeTally (origin: Incarnation, next: OriginTally): Tally {
    const known = this.tallyOf(origin)
    const tally = maxTally(known, next.tally)
    const grown = subtractTally(tally, known)
    if (isZeroTally(grown)) return grown
    this.origins.set(origin, { ...next, tally })
    this.sum = addTally(this.sum, grown)
    return grown
  }

  /**
   * Takes a part out of an origin's tally, or all of it.
   *
   * @returns what was taken out
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

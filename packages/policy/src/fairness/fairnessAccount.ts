/** Service of one workspace by one service: totals by origin, the folded base, and the lift. */
import type { Incarnation, Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'

/** Total of one origin, with the place of its last change in this process's order of changes. */
export interface OriginTotal {
  total: number
  /** Rising number of the last change. */
  seq: number
  /** Link that told the last change; undefined for own changes. */
  source: string | undefined
}

/** All that is known of one workspace at one service. */
export class FairnessAccount {
  readonly origins = new Map<Incarnation, OriginTotal>()
  /** Sum of base and origins, in virtual cost. */
  served = 0
  base = 0
  lift = 0
  /** Rising number of the last raise of the lift. */
  liftSeq = 0
  /** Link that told the lift. */
  liftSource: string | undefined
  /** Held-back downward corrections of this process, in virtual cost; the published total is too large by it. */
  debt = 0
  /** Reading at which a backlog was last known. */
  backloggedAt: Millis = Number.NEGATIVE_INFINITY

  constructor (readonly service: ServiceId, readonly workspace: WorkspaceId) {}

  /** Virtual time as this process picks by it, corrections included. */
  get virtualTime (): number {
    return this.served - this.debt + this.lift
  }

  /**
   * Sets the total of an origin if it is larger than the known one.
   *
   * @param origin - whose total
   * @param next - the total with its place in the order of changes
   * @returns by how much it grew
   */
  raise (origin: Incarnation, next: OriginTotal): number {
    const known = this.origins.get(origin)?.total ?? 0
    const grown = next.total - known
    if (grown <= 0) return 0
    this.origins.set(origin, next)
    this.served += grown
    return grown
  }

  /**
   * Removes an origin's total.
   *
   * @param origin - whose total
   * @returns what it was
   */
  drop (origin: Incarnation): number {
    const total = this.origins.get(origin)?.total ?? 0
    this.origins.delete(origin)
    this.served -= total
    return total
  }

  /**
   * Sets the base.
   *
   * @param base - sum of the folded origins, in virtual cost
   */
  setBase (base: number): void {
    this.served += base - this.base
    this.base = base
  }
}

/** The least share of a service that each backlogged workspace keeps, whatever the order and whoever is repaid. */
import type { WorkspaceId } from '@fuchsiaworks/kernel'

/** Part of its weighted share of a service that a backlogged workspace gets at the least. */
export const FLOOR_SHARE = 0.25

/** Requests that a claim may cover. */
const MAX_CREDIT_REQUESTS = 2

/** A workspace that could be served now. */
export interface CandidateWorkspace {
  readonly workspace: WorkspaceId
  /** Cost units of pulls that are not charged yet. */
  readonly pending: number
  /** Estimated cost of its next request, in cost units. */
  readonly headCost: number
}

/** Cost units that each workspace may claim ahead of the order, at one service of one agent. */
export class FloorCredit {
  readonly #credit = new Map<WorkspaceId, number>()

  /** @returns contenders whose claim covers their next request, the largest claim first */
  affordable (contenders: readonly CandidateWorkspace[]): CandidateWorkspace[] {
    const affordable = contenders.filter(({ workspace, headCost }) => this.#creditOf(workspace) >= headCost && headCost > 0)
    return affordable.sort((a, b) => this.#creditOf(b.workspace) - this.#creditOf(a.workspace))
  }

  /**
   * Counts a choice: every contender's claim grows by its part of the cost, and the chosen one's is used.
   *
   * @param contenders - who could have been served
   * @param chosen - who is served
   * @param weightOf - weights of the workspaces
   */
  recordChoice (contenders: readonly CandidateWorkspace[], chosen: CandidateWorkspace, weightOf: (workspace: WorkspaceId) => number): void {
    const weights = contenders.reduce((sum, { workspace }) => sum + weightOf(workspace), 0)
    for (const { workspace, headCost } of contenders) {
      const grown = this.#creditOf(workspace) + chosen.headCost * FLOOR_SHARE * weightOf(workspace) / weights
      const left = workspace === chosen.workspace ? grown - chosen.headCost : Math.min(grown, MAX_CREDIT_REQUESTS * headCost)
      this.#credit.set(workspace, Math.max(0, left))
    }
  }

  #creditOf (workspace: WorkspaceId): number {
    return this.#credit.get(workspace) ?? 0
  }
}

/** Guarantees each backlogged workspace a minimum share (floor) of a service, regardless of virtual time. */
import type { WorkspaceId } from '@fuchsiaworks/kernel'

/** Guaranteed part of the weighted share of a backlogged workspace. */
export const FLOOR_SHARE = 0.25

/** Upper bound of a workspace's credit, in requests. */
const MAX_CREDIT_REQUESTS = 2

/** A workspace with requests that could be served now. */
export interface CandidateWorkspace {
  readonly workspace: WorkspaceId
  /** Cost units of pending pulls, which are not charged yet. */
  readonly pending: number
  /** Estimated cost of the workspace's next request, in cost units. */
  readonly headCost: number
}

/** Credit in cost units by which workspaces are served ahead of the order by virtual time, at one service of one agent. */
export class FloorCredit {
  readonly #credit = new Map<WorkspaceId, number>()

  /** @returns candidates whose credit covers their next request, largest credit first */
  affordable (candidates: readonly CandidateWorkspace[]): CandidateWorkspace[] {
    const affordable = candidates.filter(({ workspace, headCost }) => this.#creditOf(workspace) >= headCost && headCost > 0)
    return affordable.sort((a, b) => this.#creditOf(b.workspace) - this.#creditOf(a.workspace))
  }

  /**
   * Records a choice: the credit of every candidate grows by its minimum share of the cost, and the chosen one pays the cost.
   *
   * @param candidates - workspaces that could have been served
   * @param chosen - workspace that is served
   * @param weightOf - weights of the workspaces
   */
  recordChoice (candidates: readonly CandidateWorkspace[], chosen: CandidateWorkspace, weightOf: (workspace: WorkspaceId) => number): void {
    const weights = candidates.reduce((sum, { workspace }) => sum + weightOf(workspace), 0)
    for (const { workspace, headCost } of candidates) {
      const increased = this.#creditOf(workspace) + chosen.headCost * FLOOR_SHARE * weightOf(workspace) / weights
      const remaining = workspace === chosen.workspace ? increased - chosen.headCost : Math.min(increased, MAX_CREDIT_REQUESTS * headCost)
      this.#credit.set(workspace, Math.max(0, remaining))
    }
  }

  #creditOf (workspace: WorkspaceId): number {
    return this.#credit.get(workspace) ?? 0
  }
}

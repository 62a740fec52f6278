/** Aggregates backlog and received service of the workspaces over all processes. */
import type { AdminResponse } from '@fuchsiaworks/admin'
import { getOrMake, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'

/** Load of one workspace at one service over all processes. */
export interface LoadRow {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly weight: number
  /** Requests queued at all routers. */
  readonly waiting: number
  /** Wait of the oldest queued request. */
  readonly oldestWaitMs: number
  /** Received service over the fleet in cost units. */
  readonly served: number
  /** Fraction of the service's total that the workspace received, from 0 to 1. */
  readonly share: number
  /** Fraction to which the workspace is entitled by the weights of the listed workspaces, from 0 to 1. */
  readonly weightShare: number
}

type Entry = AdminResponse<'workspaces'>['workspaces'][number]

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const ratio = (value: number, total: number): number => total === 0 ? 0 : value / total

/**
 * Estimates the service received over the fleet: the sum of what the responding processes served themselves, or the
 * largest total that any of them knows, whichever is larger. Both are lower bounds, since totals only increase.
 */
const estimateServed = (entries: readonly Entry[]): number =>
  Math.max(sum(entries.map(entry => entry.servedHere)), ...entries.map(entry => entry.served))

const mergeEntries = (entries: readonly Entry[]): Omit<LoadRow, 'share' | 'weightShare'> | undefined => {
  const first = entries[0]
  if (first === undefined) return undefined
  return {
    service: first.service,
    workspace: first.workspace,
    weight: first.weight,
    waiting: sum(entries.map(entry => entry.waiting)),
    oldestWaitMs: Math.max(...entries.map(entry => entry.oldestWaitMs)),
    served: estimateServed(entries)
  }
}

const addShares = (rows: ReadonlyArray<Omit<LoadRow, 'share' | 'weightShare'>>): LoadRow[] => rows.map(row => {
  const sameService = rows.filter(other => other.service === row.service)
  return {
    ...row,
    share: ratio(row.served, sum(sameService.map(other => other.served))),
    weightShare: ratio(row.weight, sum(sameService.map(other => other.weight)))
  }
})

/**
 * Merges the responses of all processes.
 *
 * @param responses - backlog and service as each process sees them
 * @returns one row for each service and workspace, sorted by service and then by descending backlog
 */
export const mergeLoad = (responses: ReadonlyArray<AdminResponse<'workspaces'>>): LoadRow[] => {
  const groups = new Map<string, Entry[]>()
  for (const entry of responses.flatMap(response => response.workspaces)) {
    getOrMake(groups, JSON.stringify([entry.service, entry.workspace]), () => []).push(entry)
  }
  const rows = addShares([...groups.values()].map(mergeEntries).filter(row => row !== undefined))
  return rows.sort((a, b) => a.service.localeCompare(b.service) || b.waiting - a.waiting || a.workspace.localeCompare(b.workspace))
}

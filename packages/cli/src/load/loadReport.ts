/** Adds up backlog and service of the workspaces over all processes. */
import type { AdminResponse } from '@fuchsiaworks/admin'
import { getOrMake, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'

/** One workspace at one service over all processes. */
export interface LoadRow {
  readonly service: ServiceId
  readonly workspace: WorkspaceId
  readonly weight: number
  readonly waiting: number
  readonly oldestWaitMs: number
  /** Cost units over the fleet. */
  readonly served: number
  /** Part of the service's total, from 0 to 1. */
  readonly share: number
  /** Part that the weights of the listed workspaces give it, from 0 to 1. */
  readonly weightShare: number
}

type Entry = AdminResponse<'workspaces'>['workspaces'][number]

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const part = (value: number, total: number): number => total === 0 ? 0 : value / total

/**
 * Service over the fleet: the sum over the processes that answered, or the largest total that any of them
 * has heard of, whichever is more. Both are lower bounds, since totals only grow.
 */
const servedOf = (entries: readonly Entry[]): number =>
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
    served: servedOf(entries)
  }
}

const addShares = (rows: ReadonlyArray<Omit<LoadRow, 'share' | 'weightShare'>>): LoadRow[] => rows.map(row => {
  const peers = rows.filter(other => other.service === row.service)
  return {
    ...row,
    share: part(row.served, sum(peers.map(peer => peer.served))),
    weightShare: part(row.weight, sum(peers.map(peer => peer.weight)))
  }
})

/**
 * Merges the answers of processes.
 *
 * @param answers - backlog and service as each process sees them
 * @returns one row for each service and workspace, by service and falling backlog
 */
export const mergeLoad = (answers: ReadonlyArray<AdminResponse<'workspaces'>>): LoadRow[] => {
  const groups = new Map<string, Entry[]>()
  for (const entry of answers.flatMap(answer => answer.workspaces)) {
    getOrMake(groups, JSON.stringify([entry.service, entry.workspace]), () => []).push(entry)
  }
  const rows = addShares([...groups.values()].map(mergeEntries).filter(row => row !== undefined))
  return rows.sort((a, b) => a.service.localeCompare(b.service) || b.waiting - a.waiting || a.workspace.localeCompare(b.workspace))
}

/** Workspaces of unequal size that sit unevenly on the routers. */
import type { WorkspaceShape } from './deploymentTypes.js'

/** Names and sizes of workspaces, the largest first. */
export interface WorkspaceSize {
  readonly id: string
  readonly weight: number
  readonly share: number
}

const routerIndices = (count: number): number[] => Array.from({ length: count }, (_, index) => index)

/** The first sits at one router, the second at all, the rest at one or two by turns. */
const routersOf = (index: number, routers: number): number[] => {
  if (index === 0) return [0]
  if (index === 1) return routerIndices(routers)
  const first = index % routers
  return index % 3 === 0 ? [first] : [...new Set([first, (first + 1) % routers])]
}

/** Every fourth calls the first service only, every fifth the second only; the others call both. */
const servicesOf = (index: number, [first, second]: readonly [string, string]): Record<string, number> => {
  if (index % 4 === 3) return { [first]: 1 }
  if (index % 5 === 4) return { [second]: 1 }
  return { [first]: 0.6, [second]: 0.4 }
}

/**
 * Lays out the workspaces of a deployment.
 *
 * @param names - names and sizes
 * @param services - ids of its two services
 * @param routers - number of routers
 * @returns the workspaces
 */
export const createWorkspaces = (names: readonly WorkspaceSize[], services: readonly [string, string], routers: number): WorkspaceShape[] =>
  names.map((name, index) => ({ ...name, routers: routersOf(index, routers), services: servicesOf(index, services) }))

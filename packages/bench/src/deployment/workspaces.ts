/** Creates workspaces of unequal size whose requests are spread unevenly over the routers. */
import type { WorkspaceShape } from './deploymentTypes.js'

/** Name and size of a workspace. */
export interface WorkspaceSize {
  readonly id: string
  readonly weight: number
  readonly share: number
}

const routerIndices = (count: number): number[] => Array.from({ length: count }, (_, index) => index)

/** The first workspace uses one router, the second all; of the others every third uses one and the rest two. */
const routersOf = (index: number, routers: number): number[] => {
  if (index === 0) return [0]
  if (index === 1) return routerIndices(routers)
  const first = index % routers
  return index % 3 === 0 ? [first] : [...new Set([first, (first + 1) % routers])]
}

/** Every fourth workspace calls only the first service, every fifth only the second; the others call both. */
const servicesOf = (index: number, [first, second]: readonly [string, string]): Record<string, number> => {
  if (index % 4 === 3) return { [first]: 1 }
  if (index % 5 === 4) return { [second]: 1 }
  return { [first]: 0.6, [second]: 0.4 }
}

/**
 * Creates the workspaces of a deployment.
 *
 * @param names - names and sizes, the largest first
 * @param services - ids of its two services
 * @param routers - number of routers
 * @returns the workspaces
 */
export const createWorkspaces = (names: readonly WorkspaceSize[], services: readonly [string, string], routers: number): WorkspaceShape[] =>
  names.map((name, index) => ({ ...name, routers: routersOf(index, routers), services: servicesOf(index, services) }))

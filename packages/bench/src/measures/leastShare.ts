/** Least share: the smallest ratio of service received to weighted share, over the backlogged workspaces of a service. */
import type { ServedWorkspace } from './fairnessGap.js'

/** A workspace that was backlogged for fewer steps is left out. */
const MIN_BACKLOGGED_STEPS = 50

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

/** Cost served to backlogged workspaces in a step, per unit of their weight; 0 when fewer than two were backlogged. */
const serviceByWeight = (workspaces: readonly ServedWorkspace[], step: number): number => {
  const backlogged = workspaces.filter(item => item.backlogged[step] === true)
  if (backlogged.length < 2) return 0
  return sum(backlogged.map(item => item.served[step] ?? 0)) / sum(backlogged.map(item => item.weight))
}

/**
 * Compares the cost served to each workspace while it was backlogged with its weighted share of the cost served to all
 * backlogged workspaces in the same steps.
 *
 * @param workspaces - cost served and backlog by step, all of the same length
 * @returns the smallest ratio; 1 when no workspace was backlogged long enough
 */
export const leastShare = (workspaces: readonly ServedWorkspace[]): number => {
  const steps = workspaces[0]?.backlogged.length ?? 0
  const byWeight = Array.from({ length: steps }, (_, step) => serviceByWeight(workspaces, step))
  const ratios = workspaces.flatMap(({ weight, served, backlogged }) => {
    const servedSteps = served.filter((_, step) => backlogged[step] === true && byWeight[step] !== 0)
    const share = weight * sum(byWeight.filter((_, step) => backlogged[step] === true))
    return servedSteps.length < MIN_BACKLOGGED_STEPS || share === 0 ? [] : [sum(servedSteps) / share]
  })
  return Math.min(1, ...ratios)
}

/** Writes the token shares of a gateway to its metrics. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { TokenShareDb } from '@fuchsiaworks/policy'
import type { GatewayMetrics } from './gatewayMetrics.js'

/** Sets the estimated capacity, and the share and use of each workspace that has used tokens in the window. */
export const writeShareMetrics = (metrics: GatewayMetrics, shares: TokenShareDb, now: Millis): void => {
  metrics.estimatedCapacity.remove()
  metrics.shareTokens.reset()
  metrics.servedTokens.reset()
  const capacity = shares.estimatedCapacity(now)
  if (Number.isFinite(capacity)) metrics.estimatedCapacity.set(Math.round(capacity))
  for (const workspace of shares.workspaces()) {
    if (shares.totals(workspace, now).requested <= 0) continue
    const { sharePerSecond, servedPerSecond } = shares.shareOf(workspace, now)
    if (Number.isFinite(sharePerSecond)) metrics.shareTokens.set({ workspace }, Math.round(sharePerSecond))
    metrics.servedTokens.set({ workspace }, Math.round(servedPerSecond))
  }
}

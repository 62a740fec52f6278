/** Plans a small number of requests of every kind, for the smoke test of a local fleet. */
import type { Deployment } from '../deployment/deploymentTypes.js'
import type { PlannedRequest, RequestKind } from './loadTypes.js'
import { type Random, drawInterval, pickWeighted, seededRandom } from './random.js'

const MEAN_INTERVAL_MS = 15

/** Kinds of request by kind of service, with their weights. */
const REQUEST_MIX: Readonly<Record<'engine' | 'plain', ReadonlyArray<readonly [RequestKind, number]>>> = {
  engine: [['stream', 2], ['completion', 1]],
  plain: [['get', 3], ['post', 2], ['post-keyed', 2], ['upload', 1], ['download', 1]]
}

const drawSize = (random: Random, kind: RequestKind): number => {
  if (kind === 'upload' || kind === 'download') return 100_000 + Math.floor(random() * 2_000_000)
  return 4 + Math.floor(random() * 28)
}

/**
 * Plans requests of mixed kinds from all workspaces through all routers.
 *
 * @param deployment - the deployment
 * @param count - number of requests
 * @param seed - an equal seed gives an equal plan
 * @returns the requests, ordered by time
 */
export const planMixed = (deployment: Deployment, count: number, seed: number): PlannedRequest[] => {
  const random = seededRandom(seed)
  let at = 0
  return Array.from({ length: count }, (_, index): PlannedRequest => {
    at += drawInterval(random, MEAN_INTERVAL_MS)
    const workspace = pickWeighted(random, deployment.workspaces.map(item => [item, item.share] as const))
    const id = pickWeighted(random, Object.entries(workspace.services))
    const service = deployment.services.find(item => item.id === id)
    const kind = pickWeighted(random, REQUEST_MIX[service?.kind ?? 'plain'])
    const router = workspace.routers[Math.floor(random() * workspace.routers.length)] ?? 0
    const size = drawSize(random, kind)
    return { nonce: `${workspace.id}.${seed}-${index}`, workspace: workspace.id, service: id, kind, router, at, size, filler: 'Say something.' }
  })
}

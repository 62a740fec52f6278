/** Paths of non-idempotent calls. */
import type { Deployment } from '../deployment/deploymentTypes.js'

/**
 * Finds the first configured path of non-idempotent calls of each service.
 *
 * @param deployment - the deployment
 * @returns path by service; a service without such a path is missing
 */
export const nonIdempotentPathsOf = (deployment: Deployment): Map<string, string> => new Map(deployment.services
  .flatMap(({ id, notIdempotentPaths: [path] }) => path === undefined ? [] : [[id, path] as const]))

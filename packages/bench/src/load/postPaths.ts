/** Finds where the non-idempotent calls of each service go. */
import type { Deployment } from '../deployment/deploymentTypes.js'

/**
 * Lists the paths of non-idempotent calls.
 *
 * @param deployment - the deployment
 * @returns first such path by service
 */
export const nonIdempotentPathsOf = (deployment: Deployment): Map<string, string> => new Map(deployment.services
  .flatMap(({ id, notIdempotentPaths: [path] }) => path === undefined ? [] : [[id, path] as const]))

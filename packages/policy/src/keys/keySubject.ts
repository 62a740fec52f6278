/** Places a key among the upstreams of its service. */
import type { KeyName } from './keysTypes.js'
import type { StringHash } from './rendezvous.js'

/**
 * Hashes a key's full name.
 *
 * @param hash - the fleet's hash
 * @param name - the key within its service and workspace
 * @returns the subject for the rendezvous choice
 */
export const keySubject = (hash: StringHash, { service, workspace, key }: KeyName): number =>
  hash(JSON.stringify([service, workspace, key]))

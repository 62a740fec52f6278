/** Computes the home (owner) of an idempotency key: the one upstream on which requests with this key may run. */
import type { UpstreamId } from '@fuchsiaworks/kernel'
import type { ScopedKey } from './keysTypes.js'
import { type HashedMember, rendezvous, type StringHash } from './rendezvous.js'

/**
 * Hashes a key for placement.
 *
 * @param hash - the fleet's hash
 * @param name - service, workspace and key
 * @returns the subject hash for rendezvous hashing
 */
export const keySubject = (hash: StringHash, name: ScopedKey): number => hash(JSON.stringify([name.service, name.workspace, name.key]))

/**
 * Computes the home of a key by rendezvous hashing.
 *
 * @param hash - the fleet's hash
 * @param name - service, workspace and key
 * @param upstreams - the upstreams that the configuration lists for the service, live or not
 * @returns the home; undefined when no upstream is listed
 */
export const keyHome = (hash: StringHash, name: ScopedKey, upstreams: ReadonlyArray<HashedMember<UpstreamId>>): UpstreamId | undefined =>
  rendezvous(upstreams, keySubject(hash, name))

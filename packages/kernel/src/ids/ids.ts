/** Branded string types for identifiers, so that the compiler rejects an id of the wrong kind. */
import { randomBytes } from 'node:crypto'

declare const brand: unique symbol

/** A string whose type carries the kind of identifier. */
export type Id<Kind extends string> = string & { readonly [brand]: Kind }

/** Name of a workspace (tenant), from the shared configuration. */
export type WorkspaceId = Id<'workspace'>
/** Name of a service provided by upstreams, from the shared configuration. */
export type ServiceId = Id<'service'>
/** Name of an upstream, from the shared configuration; stable across restarts. */
export type UpstreamId = Id<'upstream'>
/** Name of an availability zone. */
export type ZoneId = Id<'zone'>
/** Name of a site: one deployment with its own configuration overlay. */
export type SiteId = Id<'site'>
/** Name of a host; stable across restarts of its processes. */
export type HostId = Id<'host'>
/** Random id of one run of a process; a restart generates a new one. */
export type Incarnation = Id<'incarnation'>
/** Id of one request of a caller; the same in the router and the agent. */
export type RequestId = Id<'request'>
/** Digest of the contents of a request; equal for identical requests of one workspace. */
export type Fingerprint = Id<'fingerprint'>

/**
 * Casts a string to an id type. Does not validate it.
 *
 * @param text - the plain string
 */
export const asId = <T extends Id<string>>(text: string): T => text as T

/** Random bytes in a generated id; 9 bytes encode to 12 base64url characters without padding. */
const ID_RANDOM_BYTES = 9

/** Random bytes that are drawn at a time, because each call into the crypto library costs as much as the rest of an id. */
const POOL_BYTES = 128 * ID_RANDOM_BYTES

let pool = Buffer.alloc(0)
let usedBytes = 0

/**
 * Generates a random id.
 *
 * @returns twelve URL-safe characters (72 random bits)
 */
export const newId = <T extends Id<string>>(): T => {
  if (usedBytes >= pool.length) {
    pool = randomBytes(POOL_BYTES)
    usedBytes = 0
  }
  usedBytes += ID_RANDOM_BYTES
  return asId<T>(pool.toString('base64url', usedBytes - ID_RANDOM_BYTES, usedBytes))
}

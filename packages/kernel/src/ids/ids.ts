/** Branded identifiers, so that one kind of id cannot be passed for another. */
import { randomBytes } from 'node:crypto'

declare const brand: unique symbol

/** A string that carries the name of its kind in its type. */
export type Id<Kind extends string> = string & { readonly [brand]: Kind }

/** Name of a workspace, from the shared configuration. */
export type WorkspaceId = Id<'workspace'>
/** Name of a service that upstreams offer, from the shared configuration. */
export type ServiceId = Id<'service'>
/** Name of an upstream, from the shared configuration; stable over restarts. */
export type UpstreamId = Id<'upstream'>
/** Name of an availability zone. */
export type ZoneId = Id<'zone'>
/** Name of a site: one deployment with its overlay. */
export type SiteId = Id<'site'>
/** Name of a host, stable over restarts of its processes. */
export type HostId = Id<'host'>
/** One life of one process; a restart takes a new one. */
export type Incarnation = Id<'incarnation'>
/** One caller request, over router and agent. */
export type RequestId = Id<'request'>
/** Digest that two identical requests of one workspace share. */
export type Fingerprint = Id<'fingerprint'>

/**
 * Brands a string that was checked elsewhere.
 *
 * @param text - the plain string
 * @returns the same string as an id
 */
export const asId = <T extends Id<string>>(text: string): T => text as T

/** Bytes of randomness in a generated id. */
const ID_RANDOM_BYTES = 9

/**
 * Makes an id that no other process makes.
 *
 * @returns twelve URL-safe characters
 */
export const newId = <T extends Id<string>>(): T => asId<T>(randomBytes(ID_RANDOM_BYTES).toString('base64url'))

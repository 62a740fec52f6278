/**
 * Chooses which routers read the platform's lists and which ask another router. Answers the load of a large fleet on the
 * platform's store: every change would be read once by each router.
 */
import type { StringHash } from '../keys/rendezvous.js'
import { compareForSubject } from '../keys/rendezvous.js'
import type { ReaderFacts, StoreWatchRole } from './readerTypes.js'

/** Routers from which on one of each zone reads for the others. A small fleet reads little, and asking another router costs time when that one ends. */
const MIN_FLEET = 12

/**
 * Works out how a router is to learn of changes.
 *
 * @param hash - the fleet's hash, so that the routers of a zone choose alike
 * @param facts - the routers in sight
 * @returns its role
 */
export const chooseReadingRole = (hash: StringHash, { self, zone, neighbours }: ReaderFacts): StoreWatchRole => {
  if (neighbours.length + 1 < MIN_FLEET) return { kind: 'alone' }
  const subject = hash(zone)
  const own = { id: self, hash: hash(self) }
  const [first] = neighbours.filter(one => one.zone === zone)
    .map(one => ({ ...one, hash: hash(one.id) }))
    .sort((a, b) => compareForSubject(a, b, subject))
  if (first === undefined || compareForSubject(own, first, subject) < 0) return { kind: 'reader' }
  return { kind: 'follower', address: first.address }
}

/**
 * Chooses which gateways watch the platform's store and which get changes relayed by a peer gateway. In a large fleet, the
 * store would otherwise have to send every change to each gateway.
 */
import type { StringHash } from '../keys/rendezvous.js'
import { compareForSubject } from '../keys/rendezvous.js'
import type { ReaderInputs, StoreWatchRole } from './readerTypes.js'

/** Fleet size from which one gateway of each zone relays changes to the others. The load of a smaller fleet is low, and a relay delays changes when its gateway fails. */
const MIN_RELAY_FLEET_SIZE = 12

/**
 * Chooses the role of a gateway.
 *
 * @param hash - hash function shared by the fleet, so that the gateways of a zone choose the same reader
 * @param inputs - identity of the gateway and the reachable gateways
 * @returns the role
 */
export const chooseStoreWatchRole = (hash: StringHash, { self, zone, reachable }: ReaderInputs): StoreWatchRole => {
  if (reachable.length + 1 < MIN_RELAY_FLEET_SIZE) return { kind: 'alone' }
  const subject = hash(zone)
  const selfMember = { id: self, hash: hash(self) }
  const [first] = reachable.filter(gateway => gateway.zone === zone)
    .map(gateway => ({ ...gateway, hash: hash(gateway.id) }))
    .sort((a, b) => compareForSubject(a, b, subject))
  if (first === undefined || compareForSubject(selfMember, first, subject) < 0) return { kind: 'reader' }
  return { kind: 'follower', address: first.address }
}

/** Registers the membership policy. */
import type { StringHash } from '../keys/rendezvous.js'
import { decideMembership } from './membership.js'
import { MembershipDb } from './membershipDb.js'
import type { MembershipConfig } from './membershipTypes.js'

/** Policy `membership`: its database and decisions. */
export const membershipDefinition = {
  id: 'membership',
  createDb: (config: MembershipConfig, hash: StringHash): MembershipDb => new MembershipDb(config, hash),
  decide: decideMembership
} as const

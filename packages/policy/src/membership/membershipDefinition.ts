/** Registers the decisions about links and new work. */
import type { StringHash } from '../keys/rendezvous.js'
import { decideMembership } from './membership.js'
import { MembershipDb } from './membershipDb.js'
import type { MembershipConfig } from './membershipTypes.js'

/** The membership policy under its name. */
export const membershipDefinition = {
  id: 'membership',
  createDb: (config: MembershipConfig, hash: StringHash): MembershipDb => new MembershipDb(config, hash),
  decide: decideMembership
} as const

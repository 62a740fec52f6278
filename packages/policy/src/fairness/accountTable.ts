/** Accounts by service and workspace. The accounts of the whole fleet are updated together with those of a service. */
import { asId, getOrMake, type Incarnation, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { FairnessAccount, type OriginTally } from './fairnessAccount.js'
import { addTally, netOf, type Tally, tallyFromChange } from './tally.js'

/** Pseudo-service whose accounts hold the sums over all services. */
export const FLEET: ServiceId = asId<ServiceId>('*')

/** All accounts of one process. */
export class AccountTable {
  readonly #accounts = new Map<ServiceId, Map<WorkspaceId, FairnessAccount>>()

  /** @returns every service that has an account, FLEET included */
  services (): Iterable<ServiceId> {
    return this.#accounts.keys()
  }

  /** @returns the accounts of a service */
  accountsOf (service: ServiceId): Iterable<FairnessAccount> {
    return this.#accounts.get(service)?.values() ?? []
  }

  /** @returns the account, or undefined when there is none */
  find (service: ServiceId, workspace: WorkspaceId): FairnessAccount | undefined {
    return this.#accounts.get(service)?.get(workspace)
  }

  /** @returns the account, created when missing */
  get (service: ServiceId, workspace: WorkspaceId): FairnessAccount {
    const byWorkspace = getOrMake(this.#accounts, service, () => new Map<WorkspaceId, FairnessAccount>())
    return getOrMake(byWorkspace, workspace, () => new FairnessAccount(service, workspace))
  }

  /** @returns all accounts except those of FLEET */
  * serviceAccounts (): Iterable<FairnessAccount> {
    for (const [service, byWorkspace] of this.#accounts) {
      if (service !== FLEET) yield * byWorkspace.values()
    }
  }

  /** Merges the tally of an origin; returns the increase. */
  mergeTally (account: FairnessAccount, origin: Incarnation, next: OriginTally): Tally {
    const increase = account.mergeTally(origin, next)
    this.#addToFleet(account, increase)
    return increase
  }

  /** Removes a part of an origin's tally, or all of it; returns the removed part. */
  removeTally (account: FairnessAccount, origin: Incarnation, part: Tally = account.tallyOf(origin)): Tally {
    const removed = account.removeTally(origin, part)
    this.#addToFleet(account, tallyFromChange(-netOf(removed)))
    return removed
  }

  setBase (account: FairnessAccount, base: number): void {
    this.get(FLEET, account.workspace).base += base - account.base
    account.base = base
  }

  #addToFleet ({ workspace }: FairnessAccount, increase: Tally): void {
    const fleet = this.get(FLEET, workspace)
    fleet.sum = addTally(fleet.sum, increase)
  }
}

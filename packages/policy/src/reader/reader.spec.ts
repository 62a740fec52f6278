import { describe, it } from 'node:test'
import { asId, type ZoneId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { loadStringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import { chooseStoreWatchRole } from './reader.js'
import type { ReachableGateway, StoreWatchRole } from './readerTypes.js'

const hash = await loadStringHash()
const ZONES = ['east', 'west', 'north'].map(zone => asId<ZoneId>(zone))

const createGateways = (count: number): ReachableGateway[] => Array.from({ length: count }, (_, index) =>
  ({ id: asId<PeerId>(`r${index}`), zone: ZONES[index % ZONES.length]!, address: `10.0.0.${index}:80` }))

const rolesOf = (all: readonly ReachableGateway[]): StoreWatchRole[] => all.map(({ id, zone }) =>
  chooseStoreWatchRole(hash, { self: id, zone, reachable: all.filter(gateway => gateway.id !== id) }))

describe('a large fleet', () => {
  it('has one reader in each zone, which all other gateways of the zone follow', () => {
    const all = createGateways(31)
    const roles = rolesOf(all)
    const readers = all.filter((_, index) => roles[index]?.kind === 'reader')
    expect(readers.map(({ zone }) => zone).sort()).toEqual([...ZONES].sort())
    for (const [index, role] of roles.entries()) {
      if (role.kind === 'follower') expect(readers.find(({ address }) => address === role.address)?.zone).toEqual(all[index]?.zone)
    }
  })

  it('chooses another reader once the first is unreachable', () => {
    const all = createGateways(31)
    const roles = rolesOf(all)
    const remaining = all.filter((_, index) => roles[index]?.kind !== 'reader')
    expect(rolesOf(remaining).filter(({ kind }) => kind === 'reader').length).toEqual(ZONES.length)
  })
})

describe('a small fleet', () => {
  it('watches the store at every gateway', () => {
    expect(rolesOf(createGateways(5)).every(({ kind }) => kind === 'alone')).toEqual(true)
  })
})

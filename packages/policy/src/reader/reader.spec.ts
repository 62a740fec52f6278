import { describe, it } from 'node:test'
import { asId, type ZoneId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { loadStringHash } from '../keys/rendezvous.js'
import type { PeerId } from '../placement/placementTypes.js'
import { chooseReadingRole } from './reader.js'
import type { ReachableRouter, StoreWatchRole } from './readerTypes.js'

const hash = await loadStringHash()
const ZONES = ['east', 'west', 'north'].map(zone => asId<ZoneId>(zone))

const routers = (count: number): ReachableRouter[] => Array.from({ length: count }, (_, at) =>
  ({ id: asId<PeerId>(`r${at}`), zone: ZONES[at % ZONES.length]!, address: `10.0.0.${at}:80` }))

const rolesOf = (all: readonly ReachableRouter[]): StoreWatchRole[] => all.map(({ id, zone }) =>
  chooseReadingRole(hash, { self: id, zone, neighbours: all.filter(one => one.id !== id) }))

describe('a large fleet', () => {
  it('has one reader in each zone, whom all others of the zone ask', () => {
    const all = routers(31)
    const roles = rolesOf(all)
    const readers = all.filter((_, at) => roles[at]?.kind === 'reader')
    expect(readers.map(({ zone }) => zone).sort()).toEqual([...ZONES].sort())
    for (const [at, role] of roles.entries()) {
      if (role.kind === 'follower') expect(readers.find(({ address }) => address === role.address)?.zone).toEqual(all[at]?.zone)
    }
  })

  it('has another reader once the first is out of sight', () => {
    const all = routers(31)
    const roles = rolesOf(all)
    const left = all.filter((_, at) => roles[at]?.kind !== 'reader')
    expect(rolesOf(left).filter(({ kind }) => kind === 'reader').length).toEqual(ZONES.length)
  })
})

describe('a small fleet', () => {
  it('reads at every router', () => {
    expect(rolesOf(routers(5)).every(({ kind }) => kind === 'alone')).toEqual(true)
  })
})

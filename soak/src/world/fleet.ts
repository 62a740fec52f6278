/** The fleet of a soak: gateways, store, load balancer, and the relays between them. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Clock } from '@fuchsiaworks/kernel'
import { StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import { LoadBalancer } from './loadBalancer.js'
import { BUNDLED_PROGRAM, findGatewayPorts, GatewayProcess } from './gatewayProcess.js'
import { Relay } from './relay.js'

/** Availability zones. */
export const ZONES = ['north', 'south'] as const

/** Seed peers in the settings of each gateway, from which it discovers the others. */
const SEED_COUNT = 2

/** The parts of a running fleet. */
export interface Fleet {
  readonly store: StoreStandin
  readonly gateways: readonly GatewayProcess[]
  readonly loadBalancer: LoadBalancer
  /** Relays from each gateway to the store, by gateway. */
  readonly storeLinks: readonly Relay[]
  /** Relays in front of the peer port of each gateway, by gateway. */
  readonly peerLinks: readonly Relay[]
  readonly close: () => Promise<void>
}

/**
 * Builds a fleet; starts its store and relays, but not its gateways.
 *
 * @param clock - source of time
 * @param size - number of gateways
 * @param program - script that the gateways run
 */
export const buildFleet = async (clock: Clock, size: number, program = BUNDLED_PROGRAM): Promise<Fleet> => {
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiaworks-soak-'))
  const store = new StoreStandin()
  await store.start()
  const storePort = Number(store.address.split(':')[1])
  const indexes = Array.from({ length: size }, (_, index) => index)
  const ports = await Promise.all(indexes.map(findGatewayPorts))
  const storeLinks = await Promise.all(indexes.map(async () => await Relay.start(storePort)))
  const peerLinks = await Promise.all(ports.map(async ({ peers }) => await Relay.start(peers)))
  const gateways = ports.map((gatewayPorts, index) => new GatewayProcess(folder, index, ZONES[index % ZONES.length] ?? '', gatewayPorts, {
    storeAddress: storeLinks[index]?.address ?? '',
    advertisedAddress: peerLinks[index]?.address ?? '',
    seedAddresses: peerLinks.slice(0, SEED_COUNT).map(({ address }) => address)
  }, program))
  const balancer = new LoadBalancer(clock, ports.map(({ ready }) => ready))
  return {
    store,
    gateways,
    loadBalancer: balancer,
    storeLinks,
    peerLinks,
    close: async () => {
      balancer.close()
      await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
      await Promise.all([...storeLinks, ...peerLinks].map(async relay => { await relay.close() }))
      store.close()
      rmSync(folder, { recursive: true })
    }
  }
}

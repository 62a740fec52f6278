import { describe, it } from 'node:test'
import { asId, type ZoneId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import type { PeerId } from '../placement/placementTypes.js'
import { decideConnection } from './offload.js'
import type { OffloadInputs, OffloadPeer } from './offloadTypes.js'

const EAST = asId<ZoneId>('east')
const WEST = asId<ZoneId>('west')

const peer = (id: string, utilization: number, fields: Partial<OffloadPeer> = {}): OffloadPeer => ({ id: asId<PeerId>(id), zone: EAST, utilization, revision: 3, ...fields })

const inputs = (fields: Partial<OffloadInputs>): OffloadInputs => ({ zone: EAST, utilization: 0.95, listenQueueWaitMs: 0, revision: 3, peers: [], ...fields })

/** Random numbers of a fixed sequence. */
const sequence = (): (() => number) => {
  let state = 17
  return () => {
    state = state * 16_807 % 2_147_483_647
    return state / 2_147_483_647
  }
}

const decide = (fields: Partial<OffloadInputs>, random = sequence()): string => {
  const decision = decideConnection(inputs(fields), random)
  return decision.kind === 'offload' ? decision.peer : decision.kind
}

describe('a new connection of a caller', () => {
  it('is served by a gateway that has time, whatever its peers do', () => {
    expect(decide({ utilization: 0.6, peers: [peer('idle', 0)] })).toEqual('serve')
  })

  it('is given to a peer with time by a gateway that has none', () => {
    expect(decide({ peers: [peer('busy', 0.9), peer('idle', 0.2)] })).toEqual('idle')
  })

  it('stays in its zone while a peer of the zone has time', () => {
    const peers = [peer('near', 0.5), peer('far', 0.1, { zone: WEST })]
    expect(decide({ peers })).toEqual('near')
    expect(decide({ peers: [peer('near', 0.74), peer('far', 0.1, { zone: WEST })] })).toEqual('far')
  })

  it('is not given to a peer with an older configuration, or one that is about as busy', () => {
    expect(decide({ peers: [peer('stale', 0.1, { revision: 2 })] })).toEqual('serve')
    expect(decide({ utilization: 0.8, peers: [peer('as-busy', 0.68)] })).toEqual('serve')
  })

  it('is refused at once when nobody has time and connections wait', () => {
    expect(decide({ listenQueueWaitMs: 100 })).toEqual('serve')
    expect(decide({ listenQueueWaitMs: 300 })).toEqual('refuse')
    expect(decide({ listenQueueWaitMs: 300, peers: [peer('idle', 0.1)] })).toEqual('idle')
    expect(decide({ listenQueueWaitMs: 1200, peers: [peer('idle', 0.1)] })).toEqual('idle')
  })

  it('is only ever given to a peer that is less busy and has the configuration', () => {
    const peers = fc.array(fc.record({ id: fc.string({ minLength: 1 }).map(id => asId<PeerId>(id)), zone: fc.constantFrom(EAST, WEST), utilization: fc.double({ min: 0, max: 1, noNaN: true }), revision: fc.integer({ min: -1, max: 4 }) }))
    fc.assert(fc.property(peers, fc.double({ min: 0, max: 1, noNaN: true }), fc.integer({ min: -1, max: 4 }), fc.double({ min: 0, max: 0.999, noNaN: true }), (among, utilization, revision, draw) => {
      const decision = decideConnection(inputs({ utilization, revision, peers: among }), () => draw)
      if (decision.kind !== 'offload') return
      expect(among.some(({ id, utilization: busy, revision: known }) => id === decision.peer && busy < utilization && known >= revision)).toEqual(true)
    }))
  })
})

/** A gateway of the model, with what it can do in a step of 10 ms. */
interface ModelGateway {
  readonly peer: OffloadPeer
  /** Connections that it can serve in a second. */
  readonly capacity: number
  work: number
  utilization: number
  told: number
  served: number
}

/** Time for which a caller waits until its request is read. */
const PATIENCE_MS = 1000

/** Cost of passing a connection on, as a share of serving it. */
const PASS_ON_COST = 0.2

const STEPS_PER_SECOND = 100

/** Plays callers of one gateway, at a rate, for some seconds; returns the share that was served, and the longest wait for a processor. */
const play = (capacities: readonly number[], perSecond: number, seconds: number): { servedShare: number, maxWaitMs: number } => {
  const random = sequence()
  const gateways: ModelGateway[] = capacities.map((capacity, index) => ({ peer: peer(`g${index}`, 0), capacity, work: 0, utilization: 0, told: 0, served: 0 }))
  const [pressed, ...others] = gateways
  if (pressed === undefined) throw new RangeError('no gateway')
  let arrived = 0
  let maxWaitMs = 0
  for (let step = 0; step < seconds * STEPS_PER_SECOND; step++) {
    // Peers hear of each other's load ten times a second.
    if (step % 10 === 0) for (const gateway of gateways) gateway.told = gateway.utilization
    for (; arrived < step / STEPS_PER_SECOND * perSecond; arrived++) {
      const waitMs = pressed.work / pressed.capacity * 1000
      const decision = decideConnection(inputs({ utilization: pressed.utilization, listenQueueWaitMs: waitMs, peers: others.map(({ peer: one, told }) => ({ ...one, utilization: told })) }), random)
      if (decision.kind === 'refuse') continue
      const server: ModelGateway = decision.kind === 'offload' ? others.find(({ peer: one }) => one.id === decision.peer) ?? pressed : pressed
      server.work += 1
      server.served += 1
      if (server !== pressed) pressed.work += PASS_ON_COST
    }
    for (const gateway of gateways) {
      const done = Math.min(gateway.work, gateway.capacity / STEPS_PER_SECOND)
      gateway.work -= done
      gateway.utilization += (done / gateway.capacity * STEPS_PER_SECOND - gateway.utilization) * 0.1
      maxWaitMs = Math.max(maxWaitMs, gateway.work / gateway.capacity * 1000)
    }
  }
  return { servedShare: gateways.reduce((sum, { served }) => sum + served, 0) / arrived, maxWaitMs }
}

describe('a gateway that gets the callers of a whole zone', () => {
  it('has them all served in time by gateways of uneven size', () => {
    const { servedShare, maxWaitMs } = play([80, 80, 80, 80, 80, 450, 450], 250, 20)
    expect(servedShare).toBeGreaterThan(0.99)
    expect(maxWaitMs).toBeLessThan(PATIENCE_MS)
  })

  it('has them served by the only gateway of another zone', () => {
    const { servedShare, maxWaitMs } = play([100, 400], 250, 20)
    expect(servedShare).toBeGreaterThan(0.95)
    expect(maxWaitMs).toBeLessThan(PATIENCE_MS)
  })

  it('keeps the wait bounded and refuses the rest when the whole fleet is too small', () => {
    const { servedShare, maxWaitMs } = play([80, 80, 80], 500, 20)
    expect(servedShare).toBeGreaterThan(0.3)
    expect(maxWaitMs).toBeLessThan(PATIENCE_MS)
  })
})

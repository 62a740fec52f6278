import { type AddressInfo, createServer } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { asId, onEvent, createLog, setLogLevel, systemClock, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'
import { expect } from 'earl'
import { WebSocket } from 'ws'
import { decodePeerState, encodePeerState, PeerMessageError } from './peerCodec.js'
import { PeerMesh } from './peerMesh.js'
import type { PeerState } from './peerTypes.js'

setLogLevel('error')
const log = createLog('spec')

const LOAD: UpstreamLoad = { open: 2, waitingTokens: 900, reservedTokens: 4000 }
const STATE: PeerState = {
  peer: asId<PeerId>('p1'),
  address: '127.0.0.1:1',
  zone: asId<ZoneId>('east'),
  isLeaving: false,
  isOut: true,
  loads: new Map([[asId<UpstreamId>('u1'), LOAD]]),
  totals: new Map([[asId<WorkspaceId>('w1'), { requested: 10, served: 5 }]]),
  avoided: [{ upstream: asId<UpstreamId>('u2'), remainingMs: 300 }],
  addresses: ['127.0.0.1:2'],
  parts: [{ part: 4_000_000_000, upstream: asId<UpstreamId>('u1') }],
  crashes: [{ fingerprint: 3_000_000_000, crash: 'u1 17' }]
}

const freePort = async (): Promise<number> => await new Promise(resolve => {
  const probe = createServer().listen(0, '127.0.0.1', () => {
    const { port } = probe.address() as AddressInfo
    probe.close(() => { resolve(port) })
  })
})

const until = async (check: () => boolean): Promise<void> => {
  for (let left = 600; !check(); left--) {
    if (left === 0) throw new Error('it did not happen within 6 s')
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
}

describe('a message between routers', () => {
  it('carries a state whole', () => {
    expect(decodePeerState(encodePeerState(STATE))).toEqual(STATE)
  })

  it('is refused whole when it is malformed or of another version', () => {
    const wrong = [[3, 'p', 'a', 'z', false, false, [], [], [], [], [], []], [4, 5, 'a', 'z', false, false, [], [], [], [], [], []], [4, 'p', 'a', 'z', false, false, [['u', 'many']], [], [], [], [], []], 'text']
    for (const message of wrong) {
      const bytes = Buffer.from(JSON.stringify(message))
      expect(() => decodePeerState(bytes)).toThrow()
    }
    expect(() => decodePeerState(encodePeerState({ ...STATE, loads: new Map([[asId<UpstreamId>('u1'), { ...LOAD, open: NaN }]]) }))).toThrow(PeerMessageError)
  })
})

describe('routers', () => {
  const meshes: PeerMesh[] = []

  const startMesh = async (port: number, seeds: string[], totals: Map<WorkspaceId, TokenTotals> = new Map()): Promise<{ mesh: PeerMesh, states: PeerState[], lost: PeerId[] }> => {
    const mesh = new PeerMesh(systemClock, { zone: STATE.zone, listen: { host: '127.0.0.1', port }, advertised: undefined, seeds }, {
      read: () => ({ loads: new Map([[asId<UpstreamId>('u1'), LOAD]]), totals, avoided: [] }),
      takeNews: () => ({ parts: [], crashes: [] }),
      recentNews: () => ({ parts: STATE.parts, crashes: STATE.crashes })
    }, () => false)
    const states: PeerState[] = []
    const lost: PeerId[] = []
    onEvent(mesh.states.stream, log, state => { states.push(state) })
    onEvent(mesh.lost.stream, log, peer => { lost.push(peer) })
    await mesh.start()
    meshes.push(mesh)
    return { mesh, states, lost }
  }

  afterEach(() => { for (const mesh of meshes.splice(0)) mesh.close() })

  it('find each other by one seed and tell each other what they have open', async () => {
    const ports = [await freePort(), await freePort(), await freePort()]
    const seeds = [`127.0.0.1:${ports[0]}`]
    const all = [await startMesh(ports[0]!, seeds), await startMesh(ports[1]!, seeds), await startMesh(ports[2]!, seeds)]
    await until(() => all.every(({ mesh }) => mesh.view().reachable.length === 2))
    expect(all[2]?.states.at(-1)?.loads.get(asId('u1'))).toEqual(LOAD)
  })

  it('tell one that has just come what happened of late', async () => {
    const ports = [await freePort(), await freePort()]
    await startMesh(ports[0]!, [])
    const { states } = await startMesh(ports[1]!, [`127.0.0.1:${ports[0]}`])
    await until(() => states.some(({ parts }) => parts.length > 0))
    expect(states.flatMap(({ parts }) => parts)[0]).toEqual(STATE.parts[0])
    expect(states.flatMap(({ crashes }) => crashes)[0]).toEqual(STATE.crashes[0])
  })

  it('tell a new connection all totals and later only those that changed', async () => {
    const ports = [await freePort(), await freePort()]
    const totals = new Map<WorkspaceId, TokenTotals>([[asId('w1'), { requested: 1, served: 1 }], [asId('w2'), { requested: 2, served: 2 }]])
    const teller = await startMesh(ports[0]!, [], totals)
    const listener = await startMesh(ports[1]!, [`127.0.0.1:${ports[0]}`])
    await until(() => listener.states.length > 0)
    expect(listener.states[0]?.totals.size).toEqual(2)
    await until(() => listener.states.some(({ totals: told }) => told.size === 0))
    totals.set(asId('w2'), { requested: 9, served: 3 })
    teller.mesh.touch()
    await until(() => listener.states.some(({ totals: told }) => [...told.keys()].join() === 'w2'))
  })

  it('forget one that leaves at once, and lose one that falls silent', async () => {
    const ports = [await freePort(), await freePort(), await freePort()]
    const seeds = [`127.0.0.1:${ports[0]}`]
    const [watcher, leaver, silent] = [await startMesh(ports[0]!, seeds), await startMesh(ports[1]!, seeds), await startMesh(ports[2]!, seeds)]
    await until(() => watcher.mesh.view().reachable.length === 2)
    leaver.mesh.leave()
    await until(() => watcher.lost.includes(leaver.mesh.self))
    expect(watcher.mesh.view().unreachableCount).toEqual(0)
    silent.mesh.close()
    await until(() => watcher.lost.includes(silent.mesh.self))
    expect(watcher.mesh.view().unreachableCount).toEqual(1)
  })

  it('outlive a stranger that sends garbage', async () => {
    const ports = [await freePort(), await freePort()]
    const first = await startMesh(ports[0]!, [])
    const stranger = new WebSocket(`ws://127.0.0.1:${ports[0]}`)
    stranger.on('error', () => {})
    await new Promise(resolve => { stranger.on('open', resolve) })
    stranger.send(Buffer.from([0xc1, 0xff, 0x00]))
    await new Promise(resolve => { stranger.on('close', resolve) })
    await startMesh(ports[1]!, [`127.0.0.1:${ports[0]}`])
    await until(() => first.mesh.view().reachable.length === 1)
  })
})

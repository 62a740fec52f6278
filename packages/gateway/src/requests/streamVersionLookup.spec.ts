import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { asId, type Millis, type ServiceId, type UpstreamId } from '@fuchsiaworks/kernel'
import { loadStringHash, type SoftwareVersion, StreamVersionDb, type VersionedUpstream } from '@fuchsiaworks/policy'
import { expect } from 'earl'
import type { PeerMesh } from '../peers/peerMesh.js'
import { RecentRoutes } from '../routing/recentRoutes.js'
import type { GatewayRoute } from '../routing/routingTypes.js'
import type { RecorderLinks } from '../streamRecorder/recorderLinks.js'
import { type RequestedRoute, StreamVersionLookup } from './streamVersionLookup.js'

const SERVICE = asId<ServiceId>('engine')
const UPSTREAM: VersionedUpstream = { id: asId('u1'), service: SERVICE, version: asId<SoftwareVersion>('v1'), startedAt: 1 }
const ROUTE: RequestedRoute = { targets: [SERVICE], origins: [SERVICE], host: 'a.example', path: '/stream/x' }
const LONGEST_STREAM_MS: Millis = 5000
const hash = await loadStringHash()

const NO_RECORDERS: Pick<RecorderLinks, 'ask'> = { ask: async () => ({ outcome: 'no-recorder', version: undefined, recorder: undefined }) }

const tableOf = (...services: ServiceId[]): { routes: GatewayRoute[] } => ({
  routes: [{ id: asId('r'), host: ROUTE.host, prefix: '/stream/', targets: services.map(service => ({ service, weight: 1 })), repeatability: 'resumable', isStream: true, timeoutMs: LONGEST_STREAM_MS, latencyTargetMs: 500, maxAttempts: 2, isPublic: true }]
})

/** A lookup of a gateway that lists one version and reaches the peers. */
const createLookup = (completeForMs: Millis, peers: readonly Server[], isConfirmed = true): StreamVersionLookup => {
  const db = new StreamVersionDb(hash, 0)
  db.longestStreamMs = LONGEST_STREAM_MS
  db.setUpstreams([UPSTREAM], 0)
  const reachable = peers.map(peer => ({ address: `127.0.0.1:${(peer.address() as AddressInfo).port}` }))
  const mesh = { reachablePeers: () => [...reachable] } as unknown as Pick<PeerMesh, 'reachablePeers'>
  return new StreamVersionLookup(db, new RecentRoutes(), mesh, { confirmedAgeMs: () => 0, completeForMs: () => completeForMs, confirm: async () => isConfirmed }, NO_RECORDERS, () => 0)
}

/** Asks, at a gateway that has just started, a peer that answers as given. */
const askPeer = async (listener: RequestListener): Promise<string> => {
  const peer = createServer(listener)
  await new Promise<void>(resolve => { peer.listen(0, '127.0.0.1', resolve) })
  const lookup = createLookup(500, [peer])
  const { decision } = await lookup.ask(ROUTE, 7)
  await lookup.close()
  peer.close()
  peer.closeAllConnections()
  return decision.kind
}

const answerOf = (lookup: StreamVersionLookup): RequestListener => (req, res) => { lookup.handleRequest(req, res) }

/** Guards against an answer that is taken for more than the peer knows. */
describe('a gateway that has just started', () => {
  it('takes the list of a peer that has known it for long enough and confirmed it', async () => {
    expect(await askPeer(answerOf(createLookup(LONGEST_STREAM_MS + 4000, [])))).toEqual('only')
    expect(await askPeer(answerOf(createLookup(LONGEST_STREAM_MS + 3999, [])))).toEqual('unknown')
    expect(await askPeer(answerOf(createLookup(60_000, [], false)))).toEqual('unknown')
  })

  it('takes an answer of an earlier build, without the time or for one service of the route only, for one that has known nothing', async () => {
    const declared = [new StreamVersionDb(hash, 0).versionOf(UPSTREAM)]
    const answer = { version: null, declared, undeclared: [] }
    expect(await askPeer((_req, res) => { res.end(JSON.stringify({ ...answer, knownForMs: 60_000, coversRoute: true })) })).toEqual('only')
    expect(await askPeer((_req, res) => { res.end(JSON.stringify({ ...answer, knownForMs: 60_000 })) })).toEqual('unknown')
    expect(await askPeer((_req, res) => { res.end(JSON.stringify(answer)) })).toEqual('unknown')
  })

  it('decides without a peer that does not answer within 300 ms', async () => {
    const askedAt = Date.now()
    expect(await askPeer(() => {})).toEqual('unknown')
    expect(Date.now() - askedAt).toBeLessThan(500)
  })
})

/** Guards against a stream that began at a service of which the gateway learns only while it decides: it went on at the service that the gateway knew before. */
describe('a gateway that missed a configuration and reads it when it is asked', () => {
  it('counts the services of that configuration among those at which the stream may have begun', async () => {
    const other = { ...UPSTREAM, id: asId<UpstreamId>('u2'), service: asId<ServiceId>('other') }
    const db = new StreamVersionDb(hash, 0)
    db.longestStreamMs = LONGEST_STREAM_MS
    db.setUpstreams([UPSTREAM], 0)
    const routes = new RecentRoutes()
    routes.apply(tableOf(SERVICE), 0)
    const confirm = async (): Promise<boolean> => {
      db.setUpstreams([UPSTREAM, other], 0)
      routes.apply(tableOf(SERVICE, other.service), 0)
      return true
    }
    const lookup = new StreamVersionLookup(db, routes, { reachablePeers: () => [] }, { confirmedAgeMs: () => 0, completeForMs: () => 60_000, confirm }, NO_RECORDERS, () => 0)
    expect((await lookup.ask(ROUTE, 7)).decision.kind).toEqual('unknown')
    await lookup.close()
  })
})

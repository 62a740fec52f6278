import { describe, it } from 'node:test'
import { asId, setLogLevel, systemClock, type ZoneId } from '@fuchsiaworks/kernel'
import { findPorts } from '@fuchsiaworks/standins'
import { expect } from 'earl'
import { PeerMesh } from '../peers/peerMesh.js'
import { type GatewayUnderTest, type Script, startWithSettings } from '../process/gatewayFixtures.js'

setLogLevel('error')

const EVENT = `id: 1\ndata: ${'x'.repeat(500)}\n\n`
const respond: Script = (req, res, body) => { res.writeHead(200, { seal: 's', try: String(req.headers['try']) }).end(body.repeat(2)) }
const reject: Script = (req, res) => { res.writeHead(503, { 'not-run': '1', try: String(req.headers['try']) }).end() }
const breakOnce: Script = (req, res) => {
  res.writeHead(200, { seal: 's', try: String(req.headers['try']), 'content-type': 'text/event-stream' })
  if (req.headers['last-event-id'] !== undefined) return res.end(EVENT.replace('id: 1', 'id: 2'))
  res.write(EVENT)
  setTimeout(() => { req.socket.resetAndDestroy() }, 30)
}

/** Bytes by cause, rounded down to multiples of 500, so that they show the bodies rather than the headers. */
const bytesIn = async (zone: string, scripts: Script[], act: (gateway: GatewayUnderTest) => Promise<void>): Promise<Record<string, number>> => {
  const gateway = await startWithSettings({ zone: asId<ZoneId>(zone), zoneTraffic: { msPerMegabyte: 1000, copyBytesPerToken: 0 } }, ...scripts)
  try {
    await act(gateway)
    const samples = await gateway.readMetric('fuchsiaworks_zone_bytes_total')
    return Object.fromEntries(Object.entries(samples).map(([labels, bytes]) => [/cause="(.*)"/.exec(labels)?.[1], Math.floor(bytes / 500) * 500]))
  } finally {
    await gateway.close()
  }
}

const BODY = 'b'.repeat(600)

describe('bytes between zones', () => {
  it('are counted for requests and responses of upstreams in another zone only, which serve where the own zone has none', async () => {
    const send = async (gateway: GatewayUnderTest): Promise<void> => { expect(await gateway.sendRequest('/safe/x', '', BODY)).toMatchRegex(/b{1200}$/) }
    expect(await bytesIn('west', [respond], send)).toEqual({ request: 500, response: 1000 })
    expect(await bytesIn('east', [respond], send)).toEqual({})
  })

  it('are counted apart for retries and resumed streams', async () => {
    const retried = await bytesIn('west', [reject, reject], async gateway => { await gateway.sendRequest('/safe/x', '', BODY) })
    expect([retried['request'], retried['retry']]).toEqual([500, 500])
    const resumed = await bytesIn('west', [breakOnce, breakOnce], async gateway => { expect(await gateway.sendRequest('/stream/x')).toMatchRegex(/id: 2/) })
    expect([resumed['response'], resumed['resume']]).toEqual([500, 500])
  })

  it('are reported by the mesh with the zone of the peer that they are sent to', async () => {
    const [a = 0, b = 0] = await findPorts(2)
    const sent = new Map<string, number>()
    const source = {
      read: () => ({ loads: new Map(), totals: new Map(), processedTokens: 0, avoided: [], limits: [], queueDemand: new Map(), revision: 1 }),
      utilization: () => 0,
      takePendingEvents: () => ({ parts: [], crashes: [], sound: [], leaving: [], streams: [], slowness: [] }),
      recentEvents: () => ({ parts: [], crashes: [], sound: [], leaving: [], streams: [], slowness: [] })
    }
    const handlers = { onRequest: () => false, webSockets: new Map() }
    const meshOn = (zone: string, port: number, seed: number): PeerMesh => new PeerMesh(systemClock, {
      zone: asId<ZoneId>(zone),
      listen: { host: '127.0.0.1', port },
      advertised: undefined,
      seeds: [`127.0.0.1:${seed}`],
      onSent: (to, bytes) => { sent.set(`${zone} ${to}`, (sent.get(`${zone} ${to}`) ?? 0) + bytes) }
    }, source, handlers)
    const meshes = [meshOn('east', a, b), meshOn('west', b, a)]
    await Promise.all(meshes.map(async mesh => { await mesh.start() }))
    const isCounted = (): boolean => (sent.get('east west') ?? 0) > 0 && (sent.get('west east') ?? 0) > 0
    for (let tries = 0; tries < 40 && !isCounted(); tries++) await new Promise(resolve => { setTimeout(resolve, 100) })
    for (const mesh of meshes) mesh.close()
    expect([[...sent.keys()].sort(), isCounted()]).toEqual([['east west', 'west east'], true])
  })
})

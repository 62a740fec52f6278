/** Stand-ins for the peers of measured gateways: they send the state updates of loaded gateways and discard those that they receive. */
import { encodePeerState, type PeerState, updateIntervalMs } from '@fuchsiaworks/gateway'
import { asId, type Clock, type Timer, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { findPorts } from '@fuchsiaworks/standins'
import WebSocket, { WebSocketServer } from 'ws'

/** What updates describe. */
export interface PeerFleet {
  /** Number of peers to stand in for. */
  readonly peers: number
  /** Peers of each gateway, measured ones included. */
  readonly peersOfEach: number
  readonly upstreams: readonly string[]
  readonly workspaces: readonly string[]
  /** Peer addresses of the measured gateways. */
  readonly targets: readonly string[]
}

/** Share of the upstreams at which a gateway has open requests, and of the workspaces whose totals change between two updates. */
const BUSY_UPSTREAM_SHARE = 0.4
const CHANGED_WORKSPACE_SHARE = 0.08

/** Utilization of the peers. */
const UTILIZATION = 0.5

/** Peers of a fleet. */
export class SyntheticPeers {
  readonly #servers: WebSocketServer[] = []
  readonly #sockets: WebSocket[] = []
  readonly #timers: Timer[] = []
  #sent = 0
  received = 0

  private constructor (readonly clock: Clock, readonly fleet: PeerFleet) {}

  /** Starts the peers, which connect to the measured gateways. */
  static async start (clock: Clock, fleet: PeerFleet): Promise<SyntheticPeers> {
    const peers = new SyntheticPeers(clock, fleet)
    const ports = fleet.peers === 0 ? [] : await findPorts(fleet.peers)
    for (const [index, port] of ports.entries()) peers.#startPeer(index, port)
    return peers
  }

  close (): void {
    for (const timer of this.#timers) timer.close()
    for (const socket of this.#sockets) socket.terminate()
    for (const server of this.#servers) server.close()
  }

  #startPeer (index: number, port: number): void {
    const server = new WebSocketServer({ port, host: '127.0.0.1', perMessageDeflate: false })
    this.#servers.push(server)
    server.on('connection', socket => {
      this.#sockets.push(socket)
      socket.on('error', () => {})
      socket.on('message', () => { this.received += 1 })
    })
    const sockets = this.fleet.targets.map(address => new WebSocket(`ws://${address}`, { perMessageDeflate: false }))
    for (const socket of sockets) socket.on('error', () => {})
    this.#sockets.push(...sockets)
    this.#timers.push(this.clock.every(updateIntervalMs(this.fleet.peersOfEach, UTILIZATION), () => {
      const bytes = encodePeerState(this.#nextState(index, port))
      for (const socket of sockets) if (socket.readyState === WebSocket.OPEN) socket.send(bytes)
    }))
  }

  /** Builds an update in which some loads and totals differ from those of the one before. */
  #nextState (index: number, port: number): PeerState {
    this.#sent += 1
    const nth = this.#sent
    const { upstreams, workspaces } = this.fleet
    const isChosen = (at: number, share: number): boolean => (at * 7 + nth + index) % 100 < share * 100
    const loads = upstreams.filter((_, at) => isChosen(at, BUSY_UPSTREAM_SHARE)).map((id, at) =>
      [asId<UpstreamId>(id), { open: 1 + (nth + at) % 3, waitingTokens: (nth + at) % 4 === 0 ? 6610 : 0, reservedTokens: 12_052 + at }] as const)
    const totals = workspaces.filter((_, at) => isChosen(at, CHANGED_WORKSPACE_SHARE)).map((id, at) =>
      [asId<WorkspaceId>(id), { requested: 1_200_000 + nth * 100 + at, served: 900_000 + nth * 100 + at }] as const)
    return {
      peer: asId(`synthetic${index}`),
      address: `127.0.0.1:${port}`,
      zone: asId(`zone-${index % 3}`),
      isLeaving: false,
      isOutOfRotation: false,
      utilization: UTILIZATION,
      revision: 1,
      processedTokens: 0,
      acceptedPerSecond: 20,
      loads: new Map(loads),
      totals: new Map(totals),
      avoided: [],
      parts: [{ part: 3_000_000_000 + nth % 400, upstream: asId(upstreams[nth % upstreams.length] ?? '') }],
      crashes: [],
      sound: [],
      leaving: [],
      streams: [{ version: 1_234_567_890, streams: [2_000_000_000 + nth % 100_000] }],
      slowness: [],
      queueDemand: new Map(),
      limits: [],
      addresses: []
    }
  }
}

/** Asks peer gateways for the software version of a stream that is not known here, and answers them. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createLog, type Millis, type Service, type ServiceId, toError } from '@fuchsiaworks/kernel'
import { decideByAnswers, decideStreamVersion, knownForMs, type ListKnowledge, maySettle, routeCandidates, type StreamHash, type StreamRoute, type StreamVersionAnswer, type StreamVersionDb, type StreamVersionDecision } from '@fuchsiaworks/policy'
import { Client } from 'undici'
import * as z from 'zod'
import type { PeerMesh } from '../peers/peerMesh.js'
import type { FleetPort } from '../port/fleetPort.js'
import type { RecentRoutes } from '../routing/recentRoutes.js'
import type { RecorderLinks } from '../streamRecorder/recorderLinks.js'

const LOOKUP_PATH = '/stream-version'

/** Peer gateways that are asked for one stream. */
const ASKED_PEERS = 4

/** Time within which they have to answer. */
const ANSWER_TIMEOUT_MS: Millis = 300

/** Time within which the list of upstreams has to be confirmed; half of the time to answer, so that an answer still arrives without it. */
const CONFIRM_TIMEOUT_MS: Millis = 150

/** Streams for which peers are asked at a time; for further ones only what is known here counts. */
const MAX_CONCURRENT_LOOKUPS = 64

const answerSchema = z.object({
  version: z.number().nullable(),
  declared: z.array(z.number()),
  undeclared: z.array(z.number()),
  /** Time for which the gateway has known the complete list of upstreams, 0 while its list is old or could not be confirmed; not sent by gateways of an earlier build. */
  knownForMs: z.number().nonnegative().default(0),
  /** Whether the answer is for all services to which the gateway has routed the path; not sent by gateways of an earlier build, which know one service only. */
  coversRoute: z.boolean().default(false)
})

/** Longest part of a path that peers are told; longer than any prefix of a route. */
const MAX_PATH_CHARS = 2048

const log = createLog('streams')

/** Route of a stream, with the path that was requested: peers may know of other services to which it led. */
export interface RequestedRoute extends StreamRoute {
  /** Host name in lower case, without a port. */
  readonly host: string
  readonly path: string
}

/** Answer of one peer gateway, or of the stream recorders. */
export interface PeerAnswer extends StreamVersionAnswer {
  readonly address: string
}

/** What peer gateways told of a stream, and what follows. */
export interface LookupResult {
  readonly decision: StreamVersionDecision
  /** Peer gateways that were asked. */
  readonly asked: number
  readonly answers: readonly PeerAnswer[]
  /** Whether the list of this gateway was confirmed for the decision. */
  readonly isConfirmed: boolean
}

/** The part of the fleet port that tells how well the list of upstreams is known. */
type ListPort = Pick<FleetPort, 'confirmedAgeMs' | 'completeForMs' | 'confirm'>

/** @returns what is known of the list of upstreams, which may not have been confirmed since a stream was asked for */
export const listKnowledge = (fleet: ListPort, isConfirmed = false): ListKnowledge =>
  ({ ageMs: fleet.confirmedAgeMs() ?? Infinity, completeForMs: fleet.completeForMs(), isConfirmed })

/** Collects answers until one names the version, or all have come. */
const collect = async (pending: ReadonlyArray<Promise<PeerAnswer | undefined>>): Promise<PeerAnswer[]> => {
  const answers: PeerAnswer[] = []
  await new Promise<void>((resolve, reject) => {
    const all = pending.map(async answering => {
      const answer = await answering
      if (answer === undefined) return
      answers.push(answer)
      if (answer.version !== undefined) resolve()
    })
    Promise.all(all).then(() => { resolve() }, reject)
  })
  return answers
}

/** Lookups of one gateway. */
export class StreamVersionLookup implements Service {
  readonly #clients = new Map<string, Client>()
  #open = 0

  /**
   * @param db - versions and streams as known to this gateway
   * @param routes - routes of recent configurations
   * @param mesh - supplies the peer gateways
   * @param fleet - tells how long the list of upstreams has been known
   * @param recorders - asked beside the peer gateways
   * @param random - chooses among the peer gateways; from 0 to 1
   */
  constructor (readonly db: StreamVersionDb, readonly routes: RecentRoutes, readonly mesh: Pick<PeerMesh, 'reachablePeers'>, readonly fleet: ListPort, readonly recorders: Pick<RecorderLinks, 'ask'>, readonly random: () => number) {}

  /**
   * Finds out where a stream may go on that is not known here: by the list of this gateway, once it is confirmed, or by answers of some peer gateways and
   * of stream recorders.
   *
   * @param route - services at which the stream may have begun and may go on
   * @param stream - the stream; undefined when its caller does not name it
   */
  async ask (requested: RequestedRoute, stream: StreamHash | undefined): Promise<LookupResult> {
    const mayAsk = this.#open < MAX_CONCURRENT_LOOKUPS
    this.#open += 1
    try {
      const isConfirmed = await this.#confirmList(requested)
      let route = this.#withOrigins(requested)
      const own = decideByAnswers(this.db, route, listKnowledge(this.fleet, isConfirmed), [])
      if (isConfirmed && own.kind !== 'unknown') return { decision: own, asked: 0, answers: [], isConfirmed }
      const peers = mayAsk ? this.#choosePeers() : []
      const query = new URLSearchParams({ stream: String(stream ?? ''), host: route.host, path: route.path.slice(0, MAX_PATH_CHARS) })
      for (const service of route.origins) query.append('service', service)
      const path = `${LOOKUP_PATH}?${query.toString()}`
      const recorded = stream === undefined ? [] : [this.#askRecorders(stream)]
      const answers = await collect([...recorded, ...peers.map(async address => await this.#askPeer(address, path))])
      const list = listKnowledge(this.fleet, isConfirmed)
      route = this.#withOrigins(route)
      // Peers may have told of the stream while they were asked.
      const known = decideStreamVersion(this.db, route, stream, list)
      return { decision: known.kind === 'unknown' ? decideByAnswers(this.db, route, list, answers) : known, asked: peers.length, answers, isConfirmed }
    } finally {
      this.#open -= 1
    }
  }

  /** @returns false when the request is for another path */
  handleRequest (req: IncomingMessage, res: ServerResponse): boolean {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://gateway')
    if (pathname !== LOOKUP_PATH) return false
    const stream = searchParams.get('stream') ?? ''
    const services = searchParams.getAll('service') as ServiceId[]
    const route = { targets: services, origins: services, host: searchParams.get('host') ?? '', path: searchParams.get('path') ?? '' }
    this.#answer(res, this.#withOrigins(route), stream === '' ? undefined : Number(stream)).catch((err: unknown) => {
      log.error('peer gateway got no answer: internal error', { reason: toError(err).stack ?? String(err) })
      res.destroy()
    })
    return true
  }

  async close (): Promise<void> {
    await Promise.all([...this.#clients.values()].map(async client => { await client.destroy() }))
  }

  async #answer (res: ServerResponse, requested: RequestedRoute, stream: StreamHash | undefined): Promise<void> {
    const known = stream === undefined ? undefined : this.db.versionOfStream(stream)
    const isWitness = known === undefined && maySettle(this.db, requested, listKnowledge(this.fleet))
    // Where this list cannot settle the question, the time is only told for the log.
    const list = listKnowledge(this.fleet, !isWitness || await this.#confirmList(requested))
    const route = this.#withOrigins(requested)
    const { declared, undeclared } = routeCandidates(this.db, route)
    const version = known ?? (stream === undefined ? undefined : this.db.versionOfStream(stream))
    const answer: z.output<typeof answerSchema> = { version: version ?? null, declared: [...declared], undeclared: [...undeclared], knownForMs: Math.floor(knownForMs(list)), coversRoute: true }
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(answer))
  }

  /** Adds the services to which this gateway has routed the path, also by a configuration that has come since the stream was asked for. */
  #withOrigins (route: RequestedRoute): RequestedRoute {
    return { ...route, origins: [...new Set([...route.origins, ...this.routes.originsOf(route.host, route.path)])] }
  }

  /** Confirms the list where it may settle at which version a stream has begun. @returns false when it may not, or could not be confirmed in time */
  async #confirmList (route: StreamRoute): Promise<boolean> {
    if (!maySettle(this.db, route, listKnowledge(this.fleet))) return false
    return await new Promise<boolean>((resolve, reject) => {
      setTimeout(() => { resolve(false) }, CONFIRM_TIMEOUT_MS).unref()
      this.fleet.confirm().then(resolve, reject)
    })
  }

  #choosePeers (): string[] {
    const addresses = this.mesh.reachablePeers().map(({ address }) => address)
    this.#closeOthers(new Set(addresses))
    return Array.from({ length: Math.min(ASKED_PEERS, addresses.length) }, () => addresses.splice(Math.floor(this.random() * addresses.length), 1)).flat()
  }

  #clientFor (address: string): Client {
    const known = this.#clients.get(address)
    if (known !== undefined) return known
    const client = new Client(`http://${address}`, { connect: { timeout: ANSWER_TIMEOUT_MS } })
    this.#clients.set(address, client)
    return client
  }

  /** Closes the connections to gateways that have left. */
  #closeOthers (reachable: ReadonlySet<string>): void {
    for (const [address, client] of this.#clients) {
      if (reachable.has(address)) continue
      this.#clients.delete(address)
      client.destroy().catch(() => {})
    }
  }

  /** Asks the stream recorders; they know the versions of streams, but not which versions serve. */
  async #askRecorders (stream: StreamHash): Promise<PeerAnswer> {
    const { version } = await this.recorders.ask(stream)
    return { address: 'recorder', knownForMs: 0, version, candidates: { declared: new Set(), undeclared: new Set() } }
  }

  /** @returns undefined when the peer gateway does not answer */
  async #askPeer (address: string, path: string): Promise<PeerAnswer | undefined> {
    try {
      const { body } = await this.#clientFor(address).request({ path, method: 'GET', signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })
      const { version, declared, undeclared, knownForMs, coversRoute } = answerSchema.parse(await body.json())
      return { address, knownForMs: coversRoute ? knownForMs : 0, version: version ?? undefined, candidates: { declared: new Set(declared), undeclared: new Set(undeclared) } }
    } catch (err) {
      log.debug('peer gateway did not tell the version of a stream', { address, reason: toError(err).message })
      return undefined
    }
  }
}

import { describe, it } from 'node:test'
import { asId, type Millis, systemClock, type Timer } from '@fuchsiaworks/kernel'
import { putUpstream, removeUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { Caller } from '../callers/caller.js'
import { createRequest } from '../callers/createRequest.js'
import { emptyObservations, type Observations, type SentRequest } from '../invariants/observationTypes.js'
import { buildFleet, type Fleet } from './fleet.js'
import { COMPILED_PROGRAM } from './gatewayProcess.js'
import { Operator } from './operator.js'
import { SERVICES } from './routes.js'
import { UpstreamStandin } from './upstreamStandin.js'

/** Time within which every gateway follows a change of the list; the users' rules count a machine as in touch after it. */
const CONTACT_MS: Millis = 3000

/** Time within which all gateways have started, found each other and serve. */
const FLEET_START_MS: Millis = 30_000

/** Responses in a row after which a gateway counts as started. */
const SERVED_IN_A_ROW = 5

const OBSERVED_MS: Millis = 2500
const HANG_MS: Millis = 2500
const REQUEST_INTERVAL_MS: Millis = 12
const SLOTS = 64

/** Depth at which code that recurses over a value exhausts the stack. */
const DEPTH = 20_000

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const entryText = (fields: Readonly<Record<string, string>>): string => {
  const all = { service: `"${SERVICES.plain}"`, zone: '"north"', version: '"v1"', address: '"127.0.0.1:1"', slots: '64', state: '"ready"', cold_remaining_ms: '0', seq: '1', born: '1', ...fields }
  return `{${Object.entries(all).map(([name, value]) => `"${name}":${value}`).join()}}`
}

const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth)

/** Entries of another writer by what is odd in them; texts as they are stored. */
const ODD_ENTRIES: Readonly<Record<string, Readonly<Record<string, string>>>> = {
  'entries that are deeply nested': { 'deep-version': entryText({ version: nested(DEPTH) }), 'deep-field': entryText({ extra: nested(DEPTH), slots: '0' }) },
  'addresses out of range': { port: entryText({ address: '"127.0.0.1:70000"' }), 'large-port': entryText({ address: '"127.0.0.1:99999999999999999999"' }), octet: entryText({ address: '"127.0.0.999:80"' }) },
  'numbers that are too large, ids that no header can carry and values that are no entries': {
    slots: entryText({ slots: '1e300' }),
    infinite: entryText({ slots: '1e999' }),
    others: entryText({ cold_remaining_ms: '1e999', seq: '1e300', born: '1e300', slots: '1e9' }),
    'a\r\nb: c': entryText({}),
    'ä€': entryText({}),
    'a b': entryText({}),
    '': entryText({}),
    null: 'null',
    array: '[]',
    prototype: `{"__proto__":${entryText({})}}`,
    bytes: '\u0000\u00ff',
    empty: '',
    string: '"x"'
  }
}

/** A fleet whose list of upstreams gets odd entries. */
class OddFleet {
  readonly observations: Observations = emptyObservations()
  readonly upstreams: UpstreamStandin[] = []
  readonly #callers: readonly Caller[]
  readonly #timer: Timer
  #sent = 0

  private constructor (readonly fleet: Fleet, readonly operator: Operator) {
    this.#callers = fleet.gateways.map(({ ports }) => new Caller(systemClock, ports.callers))
    this.#timer = systemClock.every(REQUEST_INTERVAL_MS, () => { this.#send() })
  }

  static async start (gateways: number): Promise<OddFleet> {
    const fleet = await buildFleet(systemClock, gateways, COMPILED_PROGRAM)
    const operator = new Operator(systemClock, fleet.store, emptyObservations())
    operator.publish()
    for (const gateway of fleet.gateways) gateway.start()
    const started = new OddFleet(fleet, operator)
    for (let nth = 0; nth < 3; nth++) await started.startUpstream()
    for (const startedAt = systemClock.now(); !started.#isServing; await pause(100)) {
      if (systemClock.now() - startedAt > FLEET_START_MS) throw new Error(`not all gateways serve after ${FLEET_START_MS} ms`)
    }
    await pause(CONTACT_MS)
    return started
  }

  get unexpectedExits (): string[] {
    return this.fleet.gateways.flatMap(({ unexpectedExits }) => unexpectedExits)
  }

  /** Whether the last responses of every gateway are served requests. */
  get #isServing (): boolean {
    return this.#callers.every((_, gateway) => {
      const last = this.observations.requests.filter(request => request.gateway === gateway && request.end !== undefined).slice(-SERVED_IN_A_ROW)
      return last.length === SERVED_IN_A_ROW && last.every(({ end }) => end?.kind === 'response' && end.status === 200)
    })
  }

  async startUpstream (): Promise<string> {
    const id = `u${this.upstreams.length}`
    const upstream = new UpstreamStandin(systemClock, { id, service: SERVICES.plain, zone: 'north', slots: SLOTS }, this.observations, () => {})
    this.upstreams.push(upstream)
    await upstream.start()
    putUpstream(this.fleet.store, { id: asId(id), service: asId(SERVICES.plain), zone: asId('north'), address: `127.0.0.1:${upstream.port}`, slots: SLOTS, isDraining: false }, 0)
    return id
  }

  /** Requests that were sent from a time on and have had time to end. */
  requestsSince (from: Millis): SentRequest[] {
    return this.observations.requests.filter(({ sentAt, timeoutMs }) => sentAt >= from && sentAt < systemClock.now() - timeoutMs)
  }

  /** Number of gateways whose requests have reached one of some upstreams since a time. */
  sendersTo (upstreams: readonly string[], from: Millis): number {
    return new Set(this.observations.arrivals.filter(arrival => upstreams.includes(arrival.upstream) && arrival.at >= from).map(({ attempt }) => attempt.split('-')[0])).size
  }

  async close (): Promise<void> {
    this.#timer.close()
    for (const caller of this.#callers) caller.close()
    await this.fleet.close()
    for (const upstream of this.upstreams) upstream.close()
  }

  #send (): void {
    const gateway = this.#sent % this.#callers.length
    const sent = createRequest(systemClock, this.operator, { gateway, kind: 'safe', attempt: `g${gateway}-${this.#sent}` })
    this.#sent += 1
    if (sent === undefined) return
    this.observations.requests.push(sent)
    this.#callers[gateway]?.send(sent, { isNewConnection: false })
  }
}

/** Writes odd entries, then replaces all upstreams, then lets one hang, and returns what callers and upstreams saw. */
const playOddEntries = async (gateways: number, title: string, entries: Readonly<Record<string, string>>): Promise<{ unserved: number, sendersToNew: number, sendersToRemoved: number, exits: string[] }> => {
  const world = await OddFleet.start(gateways)
  try {
    for (const [id, text] of Object.entries(entries)) world.fleet.store.put(`servers/${id}`, text)
    const from = systemClock.now()
    const removed = world.upstreams.map(({ properties }) => properties.id)
    const added = [await world.startUpstream(), await world.startUpstream()]
    for (const id of removed) removeUpstream(world.fleet.store, id)
    await pause(CONTACT_MS)
    const followedFrom = systemClock.now()
    await pause(OBSERVED_MS)
    const requests = world.requestsSince(from)
    const unserved = requests.filter(({ end }) => end?.kind !== 'response' || end.status !== 200).length
    const [sendersToNew, sendersToRemoved] = [world.sendersTo(added, followedFrom), world.sendersTo(removed, followedFrom)]
    // A hanging upstream makes gateways choose another one in a timer.
    const hanging = world.upstreams.at(-1)
    if (hanging !== undefined) hanging.fault = 'hang'
    await pause(HANG_MS)
    const ends = requests.flatMap(({ gateway, sentAt, end }) => end?.kind === 'response' && end.status === 200 ? [] : [`${gateway} at ${Math.round(sentAt - from)} ms: ${end?.kind === 'response' ? `${end.status} ${end.body}` : end?.kind ?? 'open'}`])
    console.log(`${title}, ${gateways} gateways: ${unserved} (${ends.slice(0, 8).join(', ')}) of ${requests.length} requests unserved, ${sendersToNew} gateways send to the new upstreams, ${sendersToRemoved} to the removed ones, ${world.unexpectedExits.length} exits: ${world.unexpectedExits[0]?.slice(0, 600) ?? ''}`)
    return { unserved, sendersToNew, sendersToRemoved, exits: world.unexpectedExits }
  } finally {
    await world.close()
  }
}

describe('a list of upstreams in which another writer has left odd entries', () => {
  for (const [title, entries] of Object.entries(ODD_ENTRIES)) {
    it(`is followed, and its other upstreams serve, beside ${title}`, async () => {
      expect(await playOddEntries(3, title, entries)).toEqual({ unserved: 0, sendersToNew: 3, sendersToRemoved: 0, exits: [] })
    })
  }

  it('is followed by gateways that get it from a peer, and their other upstreams serve', async () => {
    const entries = Object.assign({}, ...Object.values(ODD_ENTRIES))
    expect(await playOddEntries(13, 'all of them', entries)).toEqual({ unserved: 0, sendersToNew: 13, sendersToRemoved: 0, exits: [] })
  })
})

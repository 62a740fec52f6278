/** Fixtures of the key specs: single homes, and a fleet of homes with skewed clocks, a configuration publisher and lost, late or repeated messages. */
import { asId, type Fingerprint, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { answerKeyQuery } from './keyHandoff.js'
import { keyHome } from './keyHome.js'
import { decideKeys } from './keys.js'
import { KeysDb } from './keysDb.js'
import type { KeyQueryResult, KeyQuery, KeysCommand, KeysConfig, StoredResponse } from './keysTypes.js'
import { hashMembers, loadStringHash } from './rendezvous.js'
import { uuidTime } from './uuidTime.js'

export const EPOCH = 1_700_000_000_000
export const service = asId<ServiceId>('ledger')
export const workspace = asId<WorkspaceId>('small')
export const fingerprint = asId<Fingerprint>('f')
export const upstreams = ['u0', 'u1', 'u2', 'u3'].map(name => asId<UpstreamId>(name))
const lists = [upstreams.slice(0, 3), upstreams.slice(1), upstreams.slice(0, 2), upstreams]
export const config: KeysConfig = {
  window: 10_000, callerSkew: 300, hostSkew: 200, configPropagation: 2_000, queryResultTtl: 3_000, maxKeys: 4, maxResponseBytes: 100, maxStoreBytes: 250, maxWaiters: 2
}
export const stored: StoredResponse = { status: 201, headers: [], body: new Uint8Array(90) }
export const request = (n: number): RequestId => asId<RequestId>(`r${n}`)

export const uuidAt = (time: number, n: number): string => {
  const hex = time.toString(16).padStart(12, '0')
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${n.toString(16).padStart(12, '0')}`
}

export const hash = await loadStringHash()

/** A home that is the only upstream of its service, with its configuration applied at time 0. */
export const settledHome = (cfg: Partial<KeysConfig> = {}): KeysDb => {
  const db = new KeysDb(upstreams[0]!, { ...config, ...cfg }, hash)
  decideKeys(db, { kind: 'upstreams-listed', now: 0, wall: EPOCH, service, upstreams: [upstreams[0]!], revision: 1 })
  return db
}

export const present = (db: KeysDb, now: number, key: string, n: number, requestFingerprint = fingerprint): KeysCommand[] =>
  decideKeys(db, { kind: 'key-presented', now, wall: EPOCH + now, service, workspace, key, request: request(n), fingerprint: requestFingerprint })

export const name = (key: string): { service: ServiceId, workspace: WorkspaceId, key: string } => ({ service, workspace, key })

/** One process of a home, from its start to its restart; `offset` is the error of its wall clock in milliseconds. */
interface Home {
  readonly db: KeysDb
  readonly offset: number
  revision: number
}

/** A query in transit to a previous home, or its answer on the way back. */
type Message =
  { readonly kind: 'ask', readonly querier: Home, readonly ask: number, readonly to: UpstreamId, readonly query: KeyQuery } |
  { readonly kind: 'result', readonly querier: Home, readonly ask: number, readonly to: UpstreamId, readonly query: KeyQuery, readonly queryResult: KeyQueryResult }

/** Homes with clocks, a configuration publisher and messages in transit; counts the runs of each key. */
export class Fleet {
  now = 0
  published = { list: 0, at: -Infinity, before: 0, revision: 1 }
  unknown = 0
  queriesSent = 0
  readonly messages: Message[] = []
  readonly runs = new Map<string, number>()
  readonly sent = new Map<string, number>()
  readonly running: Array<{ home: Home, key: string, request: RequestId }> = []
  readonly keys: string[] = []
  readonly homes: Home[]
  #requests = 0

  /**
   * @param config - limits
   * @param offsets - offsets of the homes' wall clocks, in milliseconds
   * @param linked - false when every query is lost
   */
  constructor (readonly config: KeysConfig, offsets: readonly number[], readonly linked = true) {
    this.homes = upstreams.map((_, i) => this.startHome(i, offsets[i] ?? 0))
  }

  startHome (i: number, offset: number, stale = false): Home {
    const home = { db: new KeysDb(upstreams[i]!, this.config, hash), offset, revision: 0 }
    this.applyConfiguration(home, stale)
    return home
  }

  /** The published configuration; within the propagation time a stale process still has the previous one. */
  view (stale = false): { list: number, revision: number } {
    const { list, at, before, revision } = this.published
    return stale && this.now - at < this.config.configPropagation ? { list: before, revision: revision - 1 } : { list, revision }
  }

  applyConfiguration (home: Home, stale = false): void {
    const { list, revision } = this.view(stale)
    if (revision <= home.revision) return
    home.revision = revision
    const event = { now: this.now, wall: EPOCH + this.now + home.offset, service, upstreams: lists[list]!, revision }
    this.execute(home, decideKeys(home.db, { kind: 'upstreams-listed', ...event }))
  }

  catchUp (): void {
    if (this.now - this.published.at >= this.config.configPropagation) this.homes.forEach(home => { this.applyConfiguration(home) })
  }

  present (slot: number, timed: boolean, callerOffset: number, stale: boolean): void {
    const first = this.sent.get(this.keys[slot] ?? '')
    const keyLifetime = uuidTime(this.keys[slot] ?? '') === undefined ? this.config.window : 4 * this.config.window
    if (first === undefined || this.now - first > keyLifetime) {
      this.keys[slot] = timed ? uuidAt(EPOCH + this.now + callerOffset, this.#requests) : `k${this.#requests}`
      this.sent.set(this.keys[slot], this.now)
    }
    const key = this.keys[slot]!
    const chosen = keyHome(hash, name(key), hashMembers(hash, lists[this.view(stale).list]!))
    const home = this.homes[upstreams.indexOf(chosen!)]!
    this.execute(home, decideKeys(home.db, { kind: 'key-presented', ...this.clocks(home), ...name(key), request: request(this.#requests++), fingerprint }), key)
  }

  clocks (home: Home): { now: number, wall: number } {
    return { now: this.now, wall: EPOCH + this.now + home.offset }
  }

  execute (home: Home, commands: KeysCommand[], key = ''): void {
    for (const command of commands) {
      if (command.kind === 'answer-unknown') this.unknown += 1
      if (command.kind === 'ask') this.sendQuery(home, command)
      if (command.kind !== 'run') continue
      this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
      this.running.push({ home, key, request: command.request })
    }
  }

  sendQuery (querier: Home, { ask, upstream, query }: Extract<KeysCommand, { kind: 'ask' }>): void {
    this.queriesSent += 1
    this.messages.push({ kind: 'ask', querier, ask, to: upstream, query })
    if (!this.linked) this.lose(this.messages.length - 1)
  }

  /** Delivers a message out of order; with `redeliver`, it stays in transit and is delivered again later. */
  deliver (pick: number, redeliver: boolean): void {
    const at = pick % Math.max(1, this.messages.length)
    const message = this.messages[at]
    if (message === undefined) return
    if (!redeliver) this.messages.splice(at, 1)
    if (message.kind === 'ask') this.answerQuery(message)
    else this.receive(message, message.queryResult)
  }

  answerQuery (message: Message): void {
    const home = this.homes[upstreams.indexOf(message.to)]!
    this.messages.push({ ...message, kind: 'result', queryResult: answerKeyQuery(home.db, { ...message.query, ...this.clocks(home) }) })
  }

  receive ({ querier, ask, to, query }: Message, queryResult: KeyQueryResult): void {
    if (!this.homes.includes(querier)) return
    const { key } = query
    this.execute(querier, decideKeys(querier.db, { kind: 'key-told', ...name(key), ...this.clocks(querier), ask, queryResult }), key)
    const state = querier.db.find(name(key))?.state
    if (state?.kind === 'asking' && state.ask === ask) this.messages.push({ kind: 'ask', querier, ask, to, query })
  }

  /** Loses a message: the querying home times out and assumes `unknown`. */
  lose (pick: number): void {
    const [message] = this.messages.splice(pick % Math.max(1, this.messages.length), 1)
    if (message !== undefined) this.receive(message, { kind: 'unknown' })
  }

  finish (outcome: 'answer' | 'not-run' | 'unknown' | 'ran'): void {
    const run = this.running.shift()
    if (run === undefined) return
    const { db } = run.home
    if (outcome === 'not-run') this.runs.set(run.key, (this.runs.get(run.key) ?? 0) - 1)
    const commands = outcome === 'answer'
      ? decideKeys(db, { kind: 'response-recorded', now: this.now, ...name(run.key), answer: stored })
      : decideKeys(db, { kind: 'run-failed', now: this.now, ...name(run.key), outcome })
    this.execute(run.home, commands, run.key)
  }

  restart (i: number, stale = false): void {
    const old = this.homes[i]!
    for (let n = this.running.length - 1; n >= 0; n -= 1) if (this.running[n]!.home === old) this.running.splice(n, 1)
    this.homes[i] = this.startHome(i, old.offset, stale)
  }

  publish (list: number): void {
    if (this.now - this.published.at < this.config.configPropagation) return
    this.published = { list, at: this.now, before: this.published.list, revision: this.published.revision + 1 }
  }
}

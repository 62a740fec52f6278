/** What a home remembers of its keys, bounded by age, count and bytes. */
import { type Fingerprint, getOrMake, type Millis, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { HomeHistory, type Moment } from './homeHistory.js'
import { keySubject } from './keyHome.js'
import type { ScopedKey, KeysConfig, StoredResponse } from './keysTypes.js'
import { hashMembers, type StringHash } from './rendezvous.js'
import { uuidTime } from './uuidTime.js'

/** How far the run of a key has come. */
export type KeyState =
  { readonly kind: 'asking', readonly first: RequestId, readonly ask: number } |
  { readonly kind: 'running', readonly first: RequestId } |
  { readonly kind: 'ended', readonly answer: StoredResponse | undefined } |
  { readonly kind: 'unknown' }

/** One remembered key. */
export interface KeyEntry {
  readonly name: ScopedKey
  readonly fingerprint: Fingerprint
  /** Monotonic milliseconds of the latest time at which it may have started. */
  since: Millis
  state: KeyState
  waiters: RequestId[]
}

/** What was forgotten of a workspace's keys. */
interface Forgotten {
  /** Version 7 keys made at or before this wall-clock time are unknown. */
  timedUntil: Millis
  /** Opaque keys are unknown before this monotonic time. */
  opaqueUntil: Millis
}

const answerSize = (answer: StoredResponse): number =>
  answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.byteLength)

/** Keys of one home. */
export class KeysDb {
  readonly #workspaces = new Map<WorkspaceId, Map<string, KeyEntry>>()
  readonly #forgotten = new Map<WorkspaceId, Forgotten>()
  readonly #histories = new Map<ServiceId, HomeHistory>()
  /** Entries with a stored answer, oldest first. */
  readonly #answers = new Map<KeyEntry, number>()
  #bytes = 0
  #asks = 0

  /**
   * @param self - the upstream beside which the agent runs
   * @param config - bounds
   * @param hash - the fleet's hash
   */
  constructor (readonly self: UpstreamId, readonly config: KeysConfig, readonly hash: StringHash) {}

  /** Bytes of the answers that are kept. */
  get bytes (): number {
    return this.#bytes
  }

  /** Keys that are remembered. */
  get size (): number {
    return [...this.#workspaces.values()].reduce((sum, keys) => sum + keys.size, 0)
  }

  setUpstreams (service: ServiceId, upstreams: readonly UpstreamId[], since: Moment, revision: number): void {
    this.history(service).add(hashMembers(this.hash, upstreams), since, revision)
  }

  /** @returns the number of the next question */
  nextAsk (): number {
    this.#asks += 1
    return this.#asks
  }

  /** @returns keys whose previous home has not told yet */
  asking (): KeyEntry[] {
    return [...this.#workspaces.values()].flatMap(keys => [...keys.values()].filter(entry => entry.state.kind === 'asking'))
  }

  /** @returns true when this upstream is the home of the key under the newest list */
  isHome (name: ScopedKey): boolean {
    return this.history(name.service).home(this.subject(name)) === this.self
  }

  history (service: ServiceId): HomeHistory {
    return getOrMake(this.#histories, service, () => new HomeHistory())
  }

  /** @returns the hash that places a key */
  subject (name: ScopedKey): number {
    return keySubject(this.hash, name)
  }

  find (name: ScopedKey): KeyEntry | undefined {
    return this.#workspaces.get(name.workspace)?.get(entryKey(name))
  }

  forgotten (workspace: WorkspaceId): Forgotten {
    return getOrMake(this.#forgotten, workspace, () => ({ timedUntil: -Infinity, opaqueUntil: -Infinity }))
  }

  /**
   * Remembers a key that runs or is asked for, and makes room for it.
   *
   * @returns false when every remembered key of the workspace is open
   */
  add (name: ScopedKey, fingerprint: Fingerprint, state: KeyState, now: Millis): boolean {
    const keys = getOrMake(this.#workspaces, name.workspace, () => new Map<string, KeyEntry>())
    if (keys.size >= this.config.maxKeys && !this.#evictOldest(keys)) return false
    keys.set(entryKey(name), { name, fingerprint, since: now, state, waiters: [] })
    return true
  }

  /** Forgets a key that is known not to have run. */
  remove (entry: KeyEntry): void {
    this.#workspaces.get(entry.name.workspace)?.delete(entryKey(entry.name))
  }

  endWith (entry: KeyEntry, answer: StoredResponse | undefined, now: Millis): void {
    entry.since = now
    const size = answer === undefined ? 0 : answerSize(answer)
    const kept = size <= this.config.maxResponseBytes ? answer : undefined
    entry.state = { kind: 'ended', answer: kept }
    if (kept === undefined) return
    this.#answers.set(entry, size)
    this.#bytes += size
    for (const oldest of this.#answers.keys()) {
      if (this.#bytes <= this.config.maxStoreBytes) return
      this.#dropAnswer(oldest)
    }
  }

  /** Forgets keys and lists that are older than the window. */
  expire (now: Millis): void {
    const before = now - this.config.window
    for (const keys of this.#workspaces.values()) {
      for (const entry of keys.values()) {
        if (entry.since < before && !isOpen(entry)) this.#forget(keys, entry)
      }
    }
    for (const history of this.#histories.values()) history.prune(before - this.config.configPropagation - this.config.queryResultTtl)
  }

  #evictOldest (keys: Map<string, KeyEntry>): boolean {
    for (const entry of keys.values()) {
      if (isOpen(entry)) continue
      this.#forget(keys, entry)
      return true
    }
    return false
  }

  #forget (keys: Map<string, KeyEntry>, entry: KeyEntry): void {
    this.#dropAnswer(entry)
    keys.delete(entryKey(entry.name))
    const forgotten = this.forgotten(entry.name.workspace)
    const made = uuidTime(entry.name.key)
    if (made === undefined) forgotten.opaqueUntil = Math.max(forgotten.opaqueUntil, entry.since + this.config.window)
    else forgotten.timedUntil = Math.max(forgotten.timedUntil, made)
  }

  #dropAnswer (entry: KeyEntry): void {
    const size = this.#answers.get(entry)
    if (size === undefined) return
    this.#answers.delete(entry)
    this.#bytes -= size
    entry.state = { kind: 'ended', answer: undefined }
  }
}

/** True while a request of the key has neither ended nor been refused. */
const isOpen = ({ state }: KeyEntry): boolean => state.kind === 'running' || state.kind === 'asking'

const entryKey = (name: ScopedKey): string => `${name.service}\n${name.key}`

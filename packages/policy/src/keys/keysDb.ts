/** Entries and stored responses of the idempotency keys of a home, bounded by age, count and bytes. */
import { type Fingerprint, getOrMake, type Millis, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { HomeHistory, type ClockReading } from './homeHistory.js'
import { keySubject } from './keyHome.js'
import type { ScopedKey, KeysConfig, StoredResponse } from './keysTypes.js'
import { hashMembers, type StringHash } from './rendezvous.js'
import { uuidTime } from './uuidTime.js'

/**
 * State of a key: waiting for the answer of its previous home (`asking`), running, ended, or with an unknown outcome.
 * `first` is the request that runs or waits for the answer, `ask` the number of the query.
 */
export type KeyState =
  { readonly kind: 'asking', readonly first: RequestId, readonly ask: number } |
  { readonly kind: 'running', readonly first: RequestId } |
  { readonly kind: 'ended', readonly answer: StoredResponse | undefined } |
  { readonly kind: 'unknown' }

/** Entry of one key. */
export interface KeyEntry {
  readonly name: ScopedKey
  readonly fingerprint: Fingerprint
  /** Monotonic milliseconds of the presentation that added the entry or of the later start or end of the run; the run did not start after this time. The entry is retained for the window from then. */
  since: Millis
  state: KeyState
  waiters: RequestId[]
}

/** Limits up to which keys of a workspace may have had an entry that expired or was evicted; such a key may have run. */
interface EvictedKeys {
  /** A version 7 UUID without an entry may have run if it was created at or before this wall-clock time. */
  uuidsUntil: Millis
  /** An opaque key without an entry may have run if it is presented before this monotonic time. */
  opaqueUntil: Millis
}

const responseSize = (answer: StoredResponse): number =>
  answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.byteLength)

/** Keys of one home. */
export class KeysDb {
  readonly #workspaces = new Map<WorkspaceId, Map<string, KeyEntry>>()
  readonly #evictedKeys = new Map<WorkspaceId, EvictedKeys>()
  readonly #histories = new Map<ServiceId, HomeHistory>()
  /** Size in bytes of each stored response by entry, oldest first. */
  readonly #responseSizes = new Map<KeyEntry, number>()
  #bytes = 0
  #lastQueryNumber = 0

  /**
   * @param self - the upstream beside which the agent runs
   * @param config - limits and time allowances
   * @param hash - the fleet's hash
   */
  constructor (readonly self: UpstreamId, readonly config: KeysConfig, readonly hash: StringHash) {}

  /** Bytes of all stored responses. */
  get bytes (): number {
    return this.#bytes
  }

  /** Number of keys with an entry. */
  get size (): number {
    return [...this.#workspaces.values()].reduce((sum, keys) => sum + keys.size, 0)
  }

  setUpstreams (service: ServiceId, upstreams: readonly UpstreamId[], since: ClockReading, revision: number): void {
    this.history(service).add(hashMembers(this.hash, upstreams), since, revision)
  }

  /** @returns the number of the next query to a previous home */
  nextQueryNumber (): number {
    this.#lastQueryNumber += 1
    return this.#lastQueryNumber
  }

  /** @returns entries that wait for an answer of their previous home */
  queryingEntries (): KeyEntry[] {
    return [...this.#workspaces.values()].flatMap(keys => [...keys.values()].filter(entry => entry.state.kind === 'asking'))
  }

  /** True when this upstream is the home of the key under the newest list. */
  isHome (name: ScopedKey): boolean {
    return this.history(name.service).home(this.subject(name)) === this.self
  }

  history (service: ServiceId): HomeHistory {
    return getOrMake(this.#histories, service, () => new HomeHistory())
  }

  /** @returns the subject hash of a key for rendezvous hashing */
  subject (name: ScopedKey): number {
    return keySubject(this.hash, name)
  }

  find (name: ScopedKey): KeyEntry | undefined {
    return this.#workspaces.get(name.workspace)?.get(entryKey(name))
  }

  evictedKeys (workspace: WorkspaceId): EvictedKeys {
    return getOrMake(this.#evictedKeys, workspace, () => ({ uuidsUntil: -Infinity, opaqueUntil: -Infinity }))
  }

  /**
   * Adds an entry for a key that runs or whose previous home is queried, evicting the oldest entry if necessary.
   *
   * @returns false when the workspace is at its limit and all its entries are still open
   */
  add (name: ScopedKey, fingerprint: Fingerprint, state: KeyState, now: Millis): boolean {
    const keys = getOrMake(this.#workspaces, name.workspace, () => new Map<string, KeyEntry>())
    if (keys.size >= this.config.maxKeys && !this.#evictOldest(keys)) return false
    keys.set(entryKey(name), { name, fingerprint, since: now, state, waiters: [] })
    return true
  }

  /** Removes a key that is known not to have run. */
  remove (entry: KeyEntry): void {
    this.#workspaces.get(entry.name.workspace)?.delete(entryKey(entry.name))
  }

  recordEnd (entry: KeyEntry, answer: StoredResponse | undefined, now: Millis): void {
    entry.since = now
    const size = answer === undefined ? 0 : responseSize(answer)
    const kept = size <= this.config.maxResponseBytes ? answer : undefined
    entry.state = { kind: 'ended', answer: kept }
    if (kept === undefined) return
    this.#responseSizes.set(entry, size)
    this.#bytes += size
    for (const oldest of this.#responseSizes.keys()) {
      if (this.#bytes <= this.config.maxStoreBytes) return
      this.#dropResponse(oldest)
    }
  }

  /** Removes entries and upstream lists that are older than the window. */
  expire (now: Millis): void {
    const before = now - this.config.window
    for (const keys of this.#workspaces.values()) {
      for (const entry of keys.values()) {
        if (entry.since < before && !isOpen(entry)) this.#evict(keys, entry)
      }
    }
    for (const history of this.#histories.values()) history.prune(before - this.config.configPropagation - this.config.queryResultTtl)
  }

  #evictOldest (keys: Map<string, KeyEntry>): boolean {
    for (const entry of keys.values()) {
      if (isOpen(entry)) continue
      this.#evict(keys, entry)
      return true
    }
    return false
  }

  #evict (keys: Map<string, KeyEntry>, entry: KeyEntry): void {
    this.#dropResponse(entry)
    keys.delete(entryKey(entry.name))
    const evictedKeys = this.evictedKeys(entry.name.workspace)
    const createdAt = uuidTime(entry.name.key)
    if (createdAt === undefined) evictedKeys.opaqueUntil = Math.max(evictedKeys.opaqueUntil, entry.since + this.config.window)
    else evictedKeys.uuidsUntil = Math.max(evictedKeys.uuidsUntil, createdAt)
  }

  #dropResponse (entry: KeyEntry): void {
    const size = this.#responseSizes.get(entry)
    if (size === undefined) return
    this.#responseSizes.delete(entry)
    this.#bytes -= size
    entry.state = { kind: 'ended', answer: undefined }
  }
}

/** True while a request with the key runs or waits for the answer of the previous home. */
const isOpen = ({ state }: KeyEntry): boolean => state.kind === 'running' || state.kind === 'asking'

const entryKey = (name: ScopedKey): string => `${name.service}\n${name.key}`

/**
 * Attributes crashes to requests and to parts of prompts. What crashes each upstream that begins to respond to it never begins soundly, so a sound response
 * clears all traits of its request of the crashes before it. What remains counts as the cause if it was there in several separate crashes.
 */
import { getOrMake, type Millis } from '@fuchsiaworks/kernel'
import type { Accusation, CrashRecord, RequestHash, Trait } from './crashSuspectTypes.js'

/** Separate crashes that make a request or a part the suspect; requirements allow a request three, and a part five. */
const MIN_CRASHES = 3

/** Crashes after which parts are suspected that explain them equally well; before, a sound response or another crash may tell them apart. */
const MIN_CRASHES_OF_EQUALS = 5

/** Requests of different content that have to have been involved before a part is suspected and not the one request. */
const MIN_REQUESTS = 2

/** Crashes of several upstreams within this time count as one: they may have a common cause outside, such as the loss of a zone. */
const SEPARATE_CRASHES_MS: Millis = 250

/** Crashes of a trait since it last began soundly, by name of the crash. */
interface Involvement {
  readonly crashes: Map<string, Millis>
  readonly requests: Set<RequestHash>
}

/** Time at which a response to a request with a trait last began soundly; undefined when none is known. */
export type LastSoundAt = (trait: Trait) => Millis | undefined

const separateCrashes = (times: readonly Millis[]): Millis[] => {
  const separate: Millis[] = []
  for (const at of [...times].sort((a, b) => a - b)) if (at - (separate.at(-1) ?? -Infinity) >= SEPARATE_CRASHES_MS) separate.push(at)
  return separate
}

const accusationOf = (kind: Accusation['kind'], times: readonly Millis[]): Accusation | undefined => {
  if (times.length < MIN_CRASHES) return undefined
  return { kind, crashes: times.length, firstCrashAt: Math.min(...times), lastCrashAt: Math.max(...times) }
}

const collectInvolvements = (crashes: ReadonlyMap<string, CrashRecord>, lastSoundAt: LastSoundAt): { requests: Map<RequestHash, Involvement>, parts: Map<Trait, Involvement> } => {
  const collected = { requests: new Map<RequestHash, Involvement>(), parts: new Map<Trait, Involvement>() }
  const involve = (involvements: Map<Trait, Involvement>, trait: Trait, crash: string, at: Millis, request: RequestHash): void => {
    if ((lastSoundAt(trait) ?? -Infinity) >= at) return
    const { crashes, requests } = getOrMake(involvements, trait, () => ({ crashes: new Map<string, Millis>(), requests: new Set<RequestHash>() }))
    crashes.set(crash, at)
    requests.add(request)
  }
  for (const [crash, { at, candidates }] of crashes) {
    for (const { fingerprint, parts } of candidates.values()) {
      involve(collected.requests, fingerprint, crash, at, fingerprint)
      for (const part of parts) involve(collected.parts, part, crash, at, fingerprint)
    }
  }
  return collected
}

/**
 * Selects the parts that explain the crashes. A part that is often asked for is a candidate of many crashes, so a part accounts for crashes first that no other
 * part already explains, and parts of which no response ever began soundly come first.
 */
const accuseParts = (involvements: ReadonlyMap<Trait, Involvement>, lastSoundAt: LastSoundAt): Map<Trait, Accusation> => {
  const accused = new Map<Trait, Accusation>()
  const explained = new Set<string>()
  const open = new Map([...involvements].filter(([, { requests }]) => requests.size >= MIN_REQUESTS))
  for (;;) {
    const rated = [...open].flatMap(([part, { crashes }]) => {
      const times = [...crashes].filter(([crash]) => !explained.has(crash)).map(([, at]) => at)
      const accusation = accusationOf('part', separateCrashes(times))
      return accusation === undefined ? [] : [{ part, crashes, unexplained: times.length, accusation, hasBeenSound: lastSoundAt(part) !== undefined }]
    }).sort((a, b) => Number(a.hasBeenSound) - Number(b.hasBeenSound) || b.accusation.crashes - a.accusation.crashes || b.unexplained - a.unexplained)
    const [first] = rated
    if (first === undefined) return accused
    const equals = rated.filter(({ hasBeenSound, accusation, unexplained }) => hasBeenSound === first.hasBeenSound && accusation.crashes === first.accusation.crashes && unexplained === first.unexplained)
    const isClear = equals.length === 1 || first.unexplained >= MIN_CRASHES_OF_EQUALS
    for (const { part, crashes, accusation } of equals) {
      if (isClear) accused.set(part, accusation)
      open.delete(part)
      for (const crash of crashes.keys()) explained.add(crash)
    }
  }
}

/**
 * Finds the requests and parts that crash upstreams.
 *
 * @param crashes - known crashes by name
 * @param lastSoundAt - when a trait last began soundly
 */
export const accuse = (crashes: ReadonlyMap<string, CrashRecord>, lastSoundAt: LastSoundAt): ReadonlyMap<Trait, Accusation> => {
  const { requests, parts } = collectInvolvements(crashes, lastSoundAt)
  const accused = accuseParts(parts, lastSoundAt)
  for (const [fingerprint, involvement] of requests) {
    const accusation = accusationOf('request', [...involvement.crashes.values()])
    if (accusation !== undefined) accused.set(fingerprint, accusation)
  }
  return accused
}

/** Decides at which software version a stream may go on that its caller takes up, possibly after another gateway had served it. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { StreamVersionDb } from './streamVersionDb.js'
import type { StreamHash, StreamRoute, StreamVersionAnswer, StreamVersionDecision, VersionCandidates, VersionHash } from './streamVersionTypes.js'

/** Age up to which a list of upstreams is taken for complete. */
const MAX_LIST_AGE_MS: Millis = 4000

/** What a gateway knows of its list of upstreams. */
export interface ListKnowledge {
  /** Time since the list was last confirmed as the latest. */
  readonly ageMs: Millis
  /** Time for which the list has been followed without missing a change. */
  readonly completeForMs: Millis
  /** True when the list has been confirmed since the stream was asked for, so that it holds the version at which it began, if that came last. */
  readonly isConfirmed: boolean
}

/** @returns for how long a gateway has known the complete list, up to the question; 0 while its list is old or not confirmed */
export const knownForMs = ({ ageMs, completeForMs, isConfirmed }: ListKnowledge): Millis => isConfirmed && ageMs <= MAX_LIST_AGE_MS ? completeForMs : 0

/**
 * Time for which a gateway must have known the list to tell at which versions a stream may have begun. The gateway that
 * began the stream may have done so by a list of the largest allowed age, so that age is added to the lifetime.
 */
const witnessTimeMs = (db: StreamVersionDb): Millis => db.longestStreamMs + MAX_LIST_AGE_MS

/** @returns whether upstreams of the service are known and none declares a version; an empty list does not tell whether they do */
const isUnversioned = ({ declared, undeclared }: VersionCandidates): boolean => declared.size === 0 && undeclared.size > 0

/** Decides by the versions at which the stream may have begun: the only one there was, or none can be told. */
const decideByCandidates = (db: StreamVersionDb, route: StreamRoute, { declared, undeclared }: VersionCandidates): StreamVersionDecision => {
  const [version] = declared
  if (version === undefined) return route.origins.length > 1 ? { kind: 'unknown' } : { kind: 'any' }
  return declared.size === 1 && undeclared.size === 0 ? decideByVersion(db, route, version) : { kind: 'unknown' }
}

/** Decides by the version that began the stream. Services may share the name of a version, but what two services write does not fit together either. */
const decideByVersion = (db: StreamVersionDb, { targets }: StreamRoute, version: VersionHash): StreamVersionDecision => {
  const service = db.serviceOf(version)
  if (service === undefined) return { kind: 'gone' }
  if (!targets.includes(service)) return { kind: 'moved', service }
  if (version !== db.serviceVersion(service)) return { kind: 'only', service, version }
  // Upstreams that declare versions since do not tell which of them, if any, is of the version that began the stream.
  return db.isVersioned(service) ? { kind: 'gone' } : { kind: 'service', service }
}

/** @returns the versions at which streams of a route may have begun, as far as this gateway knows */
export const routeCandidates = (db: StreamVersionDb, { origins }: StreamRoute): VersionCandidates => uniteCandidates(origins.map(service => db.candidates(service)))

/** @returns whether confirming the list of this gateway would make it one by which a stream may go on */
export const maySettle = (db: StreamVersionDb, route: StreamRoute, list: ListKnowledge): boolean =>
  list.completeForMs >= witnessTimeMs(db) && decideByCandidates(db, route, routeCandidates(db, route)).kind !== 'unknown'

/**
 * Decides where a stream may go on, by what this gateway knows.
 *
 * @param db - versions and streams as known to this gateway
 * @param route - services at which the stream may have begun and may go on
 * @param stream - the stream; undefined when the caller does not name it
 * @param list - what is known of the list of upstreams and of the routes
 */
export const decideStreamVersion = (db: StreamVersionDb, route: StreamRoute, stream: StreamHash | undefined, list: ListKnowledge): StreamVersionDecision => {
  const version = stream === undefined ? undefined : db.versionOfStream(stream)
  if (version !== undefined) return decideByVersion(db, route, version)
  // A gateway that has just started does not know which versions have left, and one with an old list which have come.
  if (list.completeForMs < db.retentionMs || list.ageMs > MAX_LIST_AGE_MS) return { kind: 'unknown' }
  const candidates = routeCandidates(db, route)
  return list.isConfirmed || isUnversioned(candidates) ? decideByCandidates(db, route, candidates) : { kind: 'unknown' }
}

/** @returns the versions that any of several gateways knows */
export const uniteCandidates = (all: readonly VersionCandidates[]): VersionCandidates => ({
  declared: new Set(all.flatMap(({ declared }) => [...declared])),
  undeclared: new Set(all.flatMap(({ undeclared }) => [...undeclared]))
})

/**
 * Decides where a stream may go on that this gateway does not know. Where upstreams declare versions, the candidates
 * decide only if one of these gateways has known the list for as long as a stream may last.
 *
 * @param route - services at which the stream may have begun and may go on
 * @param list - what this gateway knows of its list of upstreams and of the routes
 * @param answers - of peer gateways that were asked; none where there are no peers
 */
export const decideByAnswers = (db: StreamVersionDb, route: StreamRoute, list: ListKnowledge, answers: readonly StreamVersionAnswer[]): StreamVersionDecision => {
  const version = answers.find(answer => answer.version !== undefined)?.version
  if (version !== undefined) return decideByVersion(db, route, version)
  const candidates = uniteCandidates([routeCandidates(db, route), ...answers.map(({ candidates }) => candidates)])
  const longestKnownMs = Math.max(knownForMs(list), ...answers.map(answer => answer.knownForMs))
  return isUnversioned(candidates) || longestKnownMs >= witnessTimeMs(db) ? decideByCandidates(db, route, candidates) : { kind: 'unknown' }
}

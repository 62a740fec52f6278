/**
 * Decides whether a request may be sent that may crash its upstream. A request, or a part of prompts, that has crashed several upstreams is refused, so that they
 * stay available to the requests that share all else with it.
 */
import type { Millis } from '@fuchsiaworks/kernel'
import { ownsSubject } from '../coldPace/coldPace.js'
import type { GatewayView } from '../coldPace/coldPaceTypes.js'
import type { StringHash } from '../keys/rendezvous.js'
import type { CrashSuspectDb } from './crashSuspectDb.js'
import type { Accusation, CrashDecision, RequestTraits } from './crashSuspectTypes.js'

/** Time for which a request is refused after its last crash. */
const REQUEST_REFUSAL_MS: Millis = 60_000

/** Time for which a part is refused after its last crash, doubled by each crash beyond the first three: a wrong suspicion ends soon, and a right one costs few upstreams. */
const PART_REFUSAL_MS: Millis = 30_000
const FREE_CRASHES = 3

/** Time after the first crash in which sound responses show that a part only happened to be there. */
const ASSESSMENT_MS: Millis = 2000

/** Time until a caller may come back while another gateway, or another request, tests the part. */
const RETRY_AFTER_TRIAL_MS: Millis = 5000

const refusedUntil = ({ kind, crashes, lastCrashAt }: Accusation): Millis =>
  lastCrashAt + (kind === 'request' ? REQUEST_REFUSAL_MS : PART_REFUSAL_MS * 2 ** (crashes - FREE_CRASHES))

const isPending = ({ kind, firstCrashAt }: Accusation, now: Millis): boolean => kind === 'part' && now - firstCrashAt < ASSESSMENT_MS

/**
 * Returns for how long a request is refused.
 *
 * @param db - what is known of crashes
 * @param traits - the request
 * @param now - monotonic milliseconds
 * @returns milliseconds; 0 when the request is not refused, or one of its parts is due for a trial
 */
export const remainingRefusalMs = ({ accusations }: CrashSuspectDb, traits: RequestTraits, now: Millis): Millis => {
  if (accusations.size === 0) return 0
  const against = [traits.fingerprint, ...traits.parts].flatMap(trait => accusations.get(trait) ?? []).filter(accusation => !isPending(accusation, now))
  return Math.max(0, ...against.map(accusation => refusedUntil(accusation) - now))
}

/**
 * Decides whether a request may be sent.
 *
 * @param db - what is known of crashes; a trial is recorded in it
 * @param hash - hash function shared by the fleet
 * @param view - membership view of this gateway; one gateway of the fleet tests a part
 * @param traits - the request
 * @param now - monotonic milliseconds
 */
export const decideCrashSuspect = (db: CrashSuspectDb, hash: StringHash, view: GatewayView, traits: RequestTraits, now: Millis): CrashDecision => {
  const remainingMs = remainingRefusalMs(db, traits, now)
  if (remainingMs > 0) return { kind: 'refuse', retryAfterMs: remainingMs }
  const suspected = traits.parts.filter(part => {
    const accusation = db.accusations.get(part)
    return accusation !== undefined && !isPending(accusation, now)
  })
  if (suspected.length === 0) return { kind: 'allow' }
  const isGranted = suspected.every(part => ownsSubject(hash, view, part) && db.tryStartTrial(part, now))
  return isGranted ? { kind: 'trial' } : { kind: 'refuse', retryAfterMs: RETRY_AFTER_TRIAL_MS }
}

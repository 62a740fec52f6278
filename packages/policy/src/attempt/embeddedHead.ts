/** Decides whether the head of a response inside a body shows that the body is joined from several responses. */
import { assertNever } from '@fuchsiaworks/kernel'

/** Request that such a head names: the one in flight, an earlier one of its connection, or another one or none. */
export type EmbeddedHeadOwner = 'own-request' | 'earlier-request' | 'other'

/** A head inside a body and what is known of its connection. */
export interface NamedHead {
  /** Id of the request in flight. */
  readonly requestId: string
  /** Id that the head names; undefined when it names none. */
  readonly namedId: string | undefined
  /** True when an earlier request of the connection had that id. */
  readonly isEarlierId: boolean
}

/** Decides which request a head inside a body belongs to. */
export const findHeadOwner = ({ requestId, namedId, isEarlierId }: NamedHead): EmbeddedHeadOwner => {
  if (namedId === requestId) return 'own-request'
  return isEarlierId ? 'earlier-request' : 'other'
}

/** A response of which the head is inside a body. */
export interface EmbeddedResponse {
  readonly owner: EmbeddedHeadOwner
  /** True when it has the seal of the response around it; a sound body is taken not to quote its own seal. */
  readonly hasOwnSeal: boolean
  /** Offset in the body at which it ends by the length that it names; undefined when it names none. */
  readonly endsAt: number | undefined
  /** True when the body stops inside its headers. A body in chunks that does so is whole, as its last chunk tells. */
  readonly stopsInHeaders: boolean
}

/** The body around it. */
export interface SurroundingBody {
  /** What tells where the body ends. */
  readonly delimiter: 'length' | 'chunks' | 'close'
  /** True when it is a stream of events, in which no line of a sound one is a header. */
  readonly isEventStream: boolean
  /** Undefined while more may follow. */
  readonly end: {
    /** Length of the body. */
    readonly bytes: number
    /** Whether bytes follow on the connection that belong to no request; `unknown` where the connection is closed with the end of the response. */
    readonly bytesBehind: 'none' | 'some' | 'unknown'
  } | undefined
}

/** `quoted`: the body is sound; `spliced`: it is joined from several responses; `open`: the end of the body decides. */
export type EmbeddedResponseVerdict = 'quoted' | 'spliced' | 'open'

/** @param reachesBeyond - whether the response goes on behind the body */
const isSplicedByLength = (owner: EmbeddedHeadOwner, reachesBeyond: boolean, bytesBehind: 'none' | 'some' | 'unknown'): boolean => {
  switch (bytesBehind) {
    case 'none': return false
    case 'some': return owner === 'earlier-request' || reachesBeyond
    case 'unknown': return owner !== 'other' && reachesBeyond
    default: return assertNever(bytesBehind)
  }
}

/**
 * Decides what a response inside a body means. A sound body may quote one. Where an upstream broke a response off and wrote another one behind it, the
 * bytes do not add up: a body with a length takes as many bytes of the second response as it misses, and the rest of that follows the body; one in chunks or up to the
 * end of the connection ends with the second response.
 */
export const judgeEmbeddedResponse = ({ owner, hasOwnSeal, endsAt, stopsInHeaders }: EmbeddedResponse, { delimiter, isEventStream, end }: SurroundingBody): EmbeddedResponseVerdict => {
  if (hasOwnSeal || (isEventStream && owner !== 'other')) return 'spliced'
  if (end === undefined) return 'open'
  const reachesEnd = endsAt === undefined || endsAt >= end.bytes
  switch (delimiter) {
    case 'length':
      return isSplicedByLength(owner, endsAt === undefined || endsAt > end.bytes, end.bytesBehind) ? 'spliced' : 'quoted'
    case 'close':
      return stopsInHeaders || owner === 'earlier-request' || (owner === 'own-request' && reachesEnd) ? 'spliced' : 'quoted'
    case 'chunks':
      return owner === 'earlier-request' || (owner === 'own-request' && reachesEnd) ? 'spliced' : 'quoted'
    default:
      return assertNever(delimiter)
  }
}

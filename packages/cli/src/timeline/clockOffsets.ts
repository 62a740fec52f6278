/** Computes the clock offset of every process from the offsets measured on the links. */
import type { AdminResponse } from '@fuchsiaworks/admin'
import type { HostId, Millis } from '@fuchsiaworks/kernel'

/** Correction that converts the wall clock of a host to that of the reference host. */
export interface ClockCorrection {
  /** Milliseconds to add. */
  readonly add: Millis
  /** Maximum error of the correction in milliseconds. */
  readonly within: Millis
}

interface Edge {
  readonly from: HostId
  readonly to: HostId
  /** Wall clock of `to` minus that of `from`. */
  readonly offset: Millis
  /** Maximum error of the offset. */
  readonly within: Millis
}

/** Returns both directions of every link. The error of an offset is at most half of the round trip. */
const edgesOf = (responses: ReadonlyArray<AdminResponse<'timeline'>>): Edge[] =>
  responses.flatMap(({ host, clocks }) => clocks.flatMap(({ peer, clockOffsetMs, roundTripMs }) => [
    { from: host, to: peer, offset: clockOffsetMs, within: roundTripMs / 2 },
    { from: peer, to: host, offset: -clockOffsetMs, within: roundTripMs / 2 }
  ]))

const mostCertain = (pending: ReadonlyMap<HostId, ClockCorrection>): [HostId, ClockCorrection] | undefined =>
  [...pending].sort(([, a], [, b]) => a.within - b.within)[0]

/**
 * Finds the correction with the smallest error for each host, using Dijkstra's algorithm with errors as distances.
 *
 * @param responses - time lines with the clock offsets to peers; the first process is the reference
 * @returns corrections by host; hosts without a path of links to the reference are missing
 */
export const clockCorrections = (responses: ReadonlyArray<AdminResponse<'timeline'>>): ReadonlyMap<HostId, ClockCorrection> => {
  const edges = edgesOf(responses)
  const settled = new Map<HostId, ClockCorrection>()
  const pending = new Map<HostId, ClockCorrection>()
  const reference = responses[0]?.host
  if (reference !== undefined) pending.set(reference, { add: 0, within: 0 })
  for (let next = mostCertain(pending); next !== undefined; next = mostCertain(pending)) {
    const [host, correction] = next
    pending.delete(host)
    settled.set(host, correction)
    for (const edge of edges.filter(({ from, to }) => from === host && !settled.has(to))) relax(pending, edge, correction)
  }
  return settled
}

const relax = (pending: Map<HostId, ClockCorrection>, edge: Edge, correction: ClockCorrection): void => {
  const within = correction.within + edge.within
  const previous = pending.get(edge.to)
  if (previous === undefined || within < previous.within) pending.set(edge.to, { add: correction.add - edge.offset, within })
}

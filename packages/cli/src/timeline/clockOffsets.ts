/** Works out the clock offset of every process from the offsets that the links report. */
import type { AdminResponse } from '@fuchsiaworks/admin'
import type { HostId, Millis } from '@fuchsiaworks/kernel'

/** How to turn the wall clock of a host into that of the reference host. */
export interface ClockCorrection {
  /** Milliseconds to add. */
  readonly add: Millis
  /** The correction is right to within this many milliseconds. */
  readonly within: Millis
}

interface Edge {
  readonly from: HostId
  readonly to: HostId
  /** Wall clock of `to` minus that of `from`. */
  readonly offset: Millis
  readonly within: Millis
}

/** Both directions of every link. */
const edgesOf = (answers: ReadonlyArray<AdminResponse<'timeline'>>): Edge[] =>
  answers.flatMap(({ host, clocks }) => clocks.flatMap(({ peer, clockOffsetMs, roundTripMs }) => [
    { from: host, to: peer, offset: clockOffsetMs, within: roundTripMs / 2 },
    { from: peer, to: host, offset: -clockOffsetMs, within: roundTripMs / 2 }
  ]))

const nearest = (open: ReadonlyMap<HostId, ClockCorrection>): [HostId, ClockCorrection] | undefined =>
  [...open].sort(([, a], [, b]) => a.within - b.within)[0]

/**
 * Finds the most certain correction of each host, by the shortest path in uncertainty.
 *
 * @param answers - time lines with the clock offsets to peers; the first process is the reference
 * @returns corrections by host; a host that no link reaches is missing
 */
export const clockCorrections = (answers: ReadonlyArray<AdminResponse<'timeline'>>): ReadonlyMap<HostId, ClockCorrection> => {
  const edges = edgesOf(answers)
  const done = new Map<HostId, ClockCorrection>()
  const open = new Map<HostId, ClockCorrection>()
  const reference = answers[0]?.host
  if (reference !== undefined) open.set(reference, { add: 0, within: 0 })
  for (let next = nearest(open); next !== undefined; next = nearest(open)) {
    const [host, correction] = next
    open.delete(host)
    done.set(host, correction)
    for (const edge of edges.filter(({ from, to }) => from === host && !done.has(to))) relax(open, edge, correction)
  }
  return done
}

const relax = (open: Map<HostId, ClockCorrection>, edge: Edge, from: ClockCorrection): void => {
  const within = from.within + edge.within
  const known = open.get(edge.to)
  if (known === undefined || within < known.within) open.set(edge.to, { add: from.add - edge.offset, within })
}

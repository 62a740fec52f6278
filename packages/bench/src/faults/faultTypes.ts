/** Kinds of fault, and their schedule over a run. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { Span } from '../load/benchPlan.js'

/** Names of all faults. */
export const FAULT_KINDS = [
  'none', 'zone-out', 'leaving', 'router-kill', 'router-restart', 'router-stop', 'router-pause', 'agent-kill', 'agent-stop', 'agent-pause',
  'config-down', 'config-stale', 'engine-cold', 'engine-crash-request', 'flood', 'silent-links', 'partition'
] as const

/** Name of a fault. */
export type FaultKind = typeof FAULT_KINDS[number]

/** A fault, and the spans of the run in which it is active. */
export interface ScheduledFault {
  readonly kind: FaultKind
  readonly spans: readonly Span[]
}

/** The command line contains an unknown name of a fault. */
export class UnknownFaultError extends FuchsiaError {
  constructor (name: string) {
    super('unknown-fault', `unknown fault "${name}"; known faults: ${FAULT_KINDS.join(', ')}`)
  }
}

/** Delay of the second fault of a pair. */
const SECOND_FAULT_DELAY_MS = 1000

/** Span of a fault that occurs once, as a share of the length of the run. */
const SINGLE_SPANS: readonly Span[] = [{ from: 0.3, to: 0.6 }]

/** Spans of a fault that occurs twice, as a share of the length of the run. */
const REPEATED_SPANS: readonly Span[] = [{ from: 0.25, to: 0.4 }, { from: 0.5, to: 0.65 }]

const parseKind = (name: string): FaultKind => {
  const kind = FAULT_KINDS.find(known => known === name)
  if (kind === undefined) throw new UnknownFaultError(name)
  return kind
}

/**
 * Parses the names of faults and schedules them over a run.
 *
 * @param text - one fault, or two joined by `+`; the second one starts a second after the first
 * @param twice - whether each fault occurs twice
 * @param length - length of the run in milliseconds
 * @returns the faults with their spans
 * @throws UnknownFaultError for an unknown name
 */
export const scheduleFaults = (text: string, twice: boolean, length: number): ScheduledFault[] =>
  text.split('+').map((name, index) => {
    const offset = index * SECOND_FAULT_DELAY_MS
    const spans = (twice ? REPEATED_SPANS : SINGLE_SPANS).map(({ from, to }) => ({ from: from * length + offset, to: to * length + offset }))
    return { kind: parseKind(name), spans }
  })

/**
 * Finds the span from the first start to the last end of all faults.
 *
 * @param faults - the schedule
 */
export const spanOfFaults = (faults: readonly ScheduledFault[]): Span => {
  const spans = faults.flatMap(fault => fault.spans)
  return { from: Math.min(...spans.map(span => span.from)), to: Math.max(...spans.map(span => span.to)) }
}

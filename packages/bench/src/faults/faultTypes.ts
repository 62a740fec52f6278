/** Faults that the bench can bring about. */
import { FuchsiaError } from '@fuchsiaworks/kernel'
import type { Span } from '../load/benchPlan.js'

/** Names of the faults. */
export const FAULT_KINDS = [
  'none', 'zone-out', 'leaving', 'router-kill', 'router-restart', 'router-stop', 'router-pause', 'agent-kill', 'agent-stop', 'agent-pause',
  'config-down', 'config-stale', 'engine-cold', 'engine-crash-request', 'flood', 'silent-links', 'partition'
] as const

/** Name of a fault. */
export type FaultKind = typeof FAULT_KINDS[number]

/** A fault with the spans of the run in which it holds. */
export interface ScheduledFault {
  readonly kind: FaultKind
  readonly spans: readonly Span[]
}

/** The command line named a fault that does not exist. */
export class UnknownFaultError extends FuchsiaError {
  constructor (name: string) {
    super('unknown-fault', `there is no fault "${name}"; the faults are ${FAULT_KINDS.join(', ')}`)
  }
}

/** Milliseconds between the starts of two faults of a pair. */
const SECOND_FAULT_DELAY_MS = 1000

/** Parts of the run in which a single fault holds. */
const SINGLE_SPANS: readonly Span[] = [{ from: 0.3, to: 0.6 }]

/** Parts of the run in which a fault holds that comes twice. */
const REPEATED_SPANS: readonly Span[] = [{ from: 0.25, to: 0.4 }, { from: 0.5, to: 0.65 }]

const parseKind = (name: string): FaultKind => {
  const kind = FAULT_KINDS.find(known => known === name)
  if (kind === undefined) throw new UnknownFaultError(name)
  return kind
}

/**
 * Lays faults out over a run.
 *
 * @param text - one fault, or two joined by `+`; the second begins a second after the first
 * @param twice - whether each comes twice
 * @param length - length of the run in milliseconds
 * @returns the faults with their spans
 * @throws UnknownFaultError for a name that is no fault
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
 * @returns the span
 */
export const spanOfFaults = (faults: readonly ScheduledFault[]): Span => {
  const spans = faults.flatMap(fault => fault.spans)
  return { from: Math.min(...spans.map(span => span.from)), to: Math.max(...spans.map(span => span.to)) }
}

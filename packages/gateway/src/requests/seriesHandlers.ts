/** What the attempts of a request report to the request. */
import type { Refusal } from './refusals.js'

/** Ends the request. */
export interface SeriesHandlers {
  readonly isDone: () => boolean
  readonly onAnswered: () => void
  readonly onRefused: (refusal: Refusal) => void
  /** The request may or may not have run, and nothing has been forwarded. */
  readonly onUnknown: (reason: string) => void
  /** The response stops after a part of it has been forwarded. */
  readonly onBrokenOff: (reason: string) => void
  readonly onInternalError: () => void
}

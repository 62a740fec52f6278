/** Times at which refused callers are told to come back, and the places kept for them. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { AdmissionRequest } from '../admissionQueue/admissionQueueTypes.js'

/** Limits on the places. */
export interface RetryTimeConfig {
  /** Largest number of places of one gateway. */
  readonly maxPlaces: number
}

/** A place kept for a caller that was told to come back. */
export interface Place {
  readonly request: AdmissionRequest
  /** Time at which the request must start at the latest when it comes back. */
  readonly startBy: Millis
  /** Time at which the caller was told to come back. */
  readonly dueAt: Millis
}

/** Whether a place is kept for a request that arrives. */
export type PlaceUse =
  /** The caller came back in time and has used a place. */
  { readonly kind: 'used' } |
  /** The caller came back before the time that it was told. */
  { readonly kind: 'early', readonly dueAt: Millis } |
  { readonly kind: 'none' }

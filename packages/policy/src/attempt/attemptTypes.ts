/** Failures of an attempt at an upstream, and the steps that may follow. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { ResponseAttribution } from './responseAttribution.js'

/** Whether a request may run again after a failed attempt. */
export type Repeatability =
  /** May run more than once. */
  'idempotent' |
  /** Must not run more than once. */
  'once' |
  /** A stream that another attempt may resume after the last event forwarded to the caller. */
  'resumable'

/** How an attempt ended without a complete response. */
export type AttemptFailure =
  {
    /** The upstream did not run the request and never will. */
    readonly kind: 'not-run'
    /**
     * `unreachable`: no connection; `unsendable`: the request could not be written, whatever the upstream; `full`: upstream at capacity;
     * `declined`: any other confirmation that the request did not run.
     */
    readonly reason: 'unreachable' | 'unsendable' | 'full' | 'declined'
  } |
  {
    /** The request may have run. */
    readonly kind: 'uncertain'
    /**
     * `reset`: connection lost; `silent`: no data from the upstream for too long; `garbled`: malformed or incomplete response;
     * `spliced`: its body is joined from several responses; `not-continued`: a response that does not go on with the stream; `unconfirmed`: a status that tells callers that the request has not run, from an
     * upstream that does not state so; otherwise a response that cannot be attributed to the request.
     */
    readonly reason: 'reset' | 'silent' | 'garbled' | 'spliced' | 'not-continued' | 'unconfirmed' | Exclude<ResponseAttribution, 'own'>
  } |
  {
    /** The upstream ran the request and responded with an error. */
    readonly kind: 'error-answer'
    readonly status: number
  }

/** A failed attempt with what decides on the next step. */
export interface FailedAttempt {
  readonly repeatability: Repeatability
  readonly failure: AttemptFailure
  /** True when a part of the response has been forwarded to the caller. */
  readonly responseStarted: boolean
  /** Number of upstreams to which the request may still be sent. */
  readonly attemptsLeft: number
  /** Milliseconds until the caller's deadline or the route's timeout. */
  readonly timeLeftMs: Millis
  /** True when the retry budget allows one more attempt. */
  readonly retryBudgetAvailable: boolean
}

/** Step that follows a failed attempt. */
export type AttemptDecision =
  {
    /** Send the request to another upstream. */
    readonly kind: 'retry'
  } |
  {
    /** Send the request to another upstream, which resumes after the last event forwarded to the caller. */
    readonly kind: 'resume'
  } |
  {
    /** Respond that the request did not run. */
    readonly kind: 'refuse'
  } |
  {
    /** Forward the upstream's error response. */
    readonly kind: 'relay'
  } |
  {
    /** Respond that the request may have run. */
    readonly kind: 'answer-unknown'
  } |
  {
    /** Close the caller's connection, so that the partial response is not taken for a complete one. */
    readonly kind: 'break-off'
  }

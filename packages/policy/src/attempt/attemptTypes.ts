/** How one attempt at an upstream ended, and what is to follow. */
import type { Millis } from '@fuchsiaworks/kernel'

/** What may be repeated of a request. */
export type Repeatability =
  /** May run more than once. */
  'idempotent' |
  /** May run once only. */
  'once' |
  /** A stream that another run may continue after the last event that was passed on. */
  'resumable'

/** How an attempt ended without a whole answer that may be passed on. */
export type AttemptFailure =
  {
    /** The upstream did not run the request and never will. */
    readonly kind: 'not-run'
    /** `unreachable`: no connection; `full`: it has too much to do; `declined`: any other word that it did not run. */
    readonly reason: 'unreachable' | 'full' | 'declined'
  } |
  {
    /** The request may have run. */
    readonly kind: 'uncertain'
    readonly reason: 'reset' | 'silent' | 'garbled'
  } |
  {
    /** The upstream ran the request and answered with an error of its own. */
    readonly kind: 'error-answer'
    readonly status: number
  }

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  readonly repeatability: Repeatability
  readonly failure: AttemptFailure
  /** True when a part of the answer has been passed on to the caller. */
  readonly responseStarted: boolean
  /** Upstreams that the request may still be sent to. */
  readonly attemptsLeft: number
  /** Milliseconds until the caller or the route's timeout gives up. */
  readonly timeLeftMs: Millis
  /** True when the retry budget allows one more attempt. */
  readonly retryBudgetAvailable: boolean
}

/** What follows a failed attempt. */
export type AttemptDecision =
  {
    /** Send the request to another upstream. */
    readonly kind: 'retry'
  } |
  {
    /** Send it to another upstream, which continues after the last event that was passed on. */
    readonly kind: 'resume'
  } |
  {
    /** Tell the caller that the request did not run. */
    readonly kind: 'refuse'
  } |
  {
    /** Pass the upstream's own error on. */
    readonly kind: 'relay'
  } |
  {
    /** Tell the caller that the request may have run. */
    readonly kind: 'answer-unknown'
  } |
  {
    /** Close the caller's connection, so that the part is not taken for the whole. */
    readonly kind: 'break-off'
  }

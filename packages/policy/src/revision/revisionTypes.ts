/** Events and commands of the distribution of configuration revisions. */
import type { Finding, Millis } from '@fuchsiaworks/kernel'

/** Settings of the distribution of revisions. */
export interface RevisionConfig {
  /** True in routers, which always watch the configuration service; agents watch only after some time without a link. */
  readonly alwaysWatch: boolean
  /** Milliseconds without a link after which an agent starts to watch. */
  readonly watchAfter: Millis
  /** Longest random addition to watchAfter, and longest random delay before a router watches again after an error, in milliseconds. */
  readonly watchJitter: Millis
  /** Limit of refused revisions that are recorded. */
  readonly maxRefused: number
  /** Milliseconds without documents after which they are requested from another peer. */
  readonly requestTimeout: Millis
}

/** Result of parsing a configuration (a set of documents). */
export type ParseResult =
  { readonly kind: 'accepted' } |
  { readonly kind: 'findings', readonly findings: readonly Finding[] }

/** Source of documents: the configuration service or a peer. */
export type RevisionSource = 'service' | 'peer'

/** Events. `now` is monotonic milliseconds; `link` is the id of one session. */
export type RevisionEvent =
  {
    readonly kind: 'documents-received'
    readonly now: Millis
    readonly source: RevisionSource
    /** The link over which a peer sent the documents. */
    readonly link?: string
    readonly revision: number
    readonly result: ParseResult
  } |
  { readonly kind: 'link-up', readonly now: Millis, readonly link: string } |
  { readonly kind: 'link-down', readonly now: Millis, readonly link: string, readonly random: number } |
  {
    /** The peer announced its accepted revision. */
    readonly kind: 'peer-revision'
    readonly now: Millis
    readonly link: string
    readonly revision: number
  } |
  {
    /** The peer requested the documents of any revision above this one. */
    readonly kind: 'documents-requested'
    readonly now: Millis
    readonly link: string
    readonly revision: number
  } |
  {
    /** A read or watch of the configuration service failed. */
    readonly kind: 'service-down'
    readonly now: Millis
    readonly random: number
  } |
  { readonly kind: 'tick', readonly now: Millis, readonly random: number }

/** Commands to the process. */
export type RevisionCommand =
  { readonly kind: 'accept', readonly revision: number } |
  { readonly kind: 'refuse-with-findings', readonly revision: number, readonly findings: readonly Finding[] } |
  {
    /** Request documents of a revision above this one from the peer. */
    readonly kind: 'request-documents'
    readonly link: string
    readonly revision: number
  } |
  {
    /** Send the accepted revision to the peer, with its documents only if the peer requested them. */
    readonly kind: 'send-revision'
    readonly link: string
    readonly revision: number
    readonly withDocuments: boolean
  } |
  {
    /** Watch the configuration service for revisions above this one. */
    readonly kind: 'watch'
    readonly above: number
  } |
  { readonly kind: 'stop-watching' }

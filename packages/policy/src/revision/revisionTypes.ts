/** Events and commands of the shared configuration's revisions. */
import type { Finding, Millis } from '@fuchsiaworks/kernel'

/** Settings of the relay of revisions. */
export interface RevisionConfig {
  /** True in routers, which always watch; agents watch only when they have had no link for a while. */
  readonly alwaysWatch: boolean
  /** Milliseconds without a link after which an agent watches. */
  readonly watchAfter: Millis
  /** Longest random addition to watchAfter and to the wait after an error, in milliseconds. */
  readonly watchJitter: Millis
  /** Refused revisions that are remembered. */
  readonly maxRefused: number
  /** Milliseconds after which another peer is asked for documents that did not come. */
  readonly requestTimeout: Millis
}

/** What parsing a document set gave. */
export type ParseResult =
  { readonly kind: 'accepted' } |
  { readonly kind: 'findings', readonly findings: readonly Finding[] }

/** Where documents came from. */
export type RevisionSource = 'service' | 'peer'

/** What a process hears. `now` is monotonic milliseconds; a link is a name of one session. */
export type RevisionEvent =
  {
    readonly kind: 'documents-received'
    readonly now: Millis
    readonly source: RevisionSource
    /** The link that brought the documents, when a peer did. */
    readonly link?: string
    readonly revision: number
    readonly result: ParseResult
  } |
  { readonly kind: 'link-up', readonly now: Millis, readonly link: string } |
  { readonly kind: 'link-down', readonly now: Millis, readonly link: string, readonly random: number } |
  {
    /** The peer tells its newest accepted revision. */
    readonly kind: 'peer-revision'
    readonly now: Millis
    readonly link: string
    readonly revision: number
  } |
  {
    /** The peer wants the documents of any revision above this one. */
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

/** What the process does. */
export type RevisionCommand =
  { readonly kind: 'accept', readonly revision: number } |
  { readonly kind: 'refuse-with-findings', readonly revision: number, readonly findings: readonly Finding[] } |
  {
    /** Ask the peer for the documents of a revision above the own one. */
    readonly kind: 'request-documents'
    readonly link: string
    readonly revision: number
  } |
  {
    /** Send the peer the own revision; the documents go only to a peer that asked. */
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

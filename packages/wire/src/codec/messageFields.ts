/**
 * Fields of every kind of message. The order of kinds and of fields is the order on the wire: new kinds go to the end, new
 * fields go to the end of their kind and are optional, so that processes of two versions understand each other.
 */
import type { Crash, HeaderList, StoredResponse, Message } from '../protocol/protocolTypes.js'
import { amount, bytes, type Field, type Fields, flag, list, maybe, oneOf, optional, pair, record, text, whole } from './fields.js'

/** Any kind of message. */
export type MessageKind = Message['kind']

/** The message of one kind. */
export type MessageOf<K extends MessageKind> = Extract<Message, { readonly kind: K }>

type MessageFields = { readonly [K in MessageKind]: Fields<Omit<MessageOf<K>, 'kind'>> }

const crash: Field<Crash> = record({ id: text(), alone: flag })

const headers: Field<HeaderList> = list(pair(text(), text()))

const keptAnswer: Field<StoredResponse> = record({ status: whole, headers, body: bytes })

/** Fields by kind, in the order of the wire. */
export const messageFields: MessageFields = {
  backlog: {
    service: text(),
    entries: list(record({ workspace: text(), waiting: amount, oldestWait: amount, headCost: amount }))
  },
  pull: { pull: whole, service: text(), workspace: text() },
  'pull-empty': { pull: whole },
  handover: {
    pull: whole,
    request: text(),
    service: text(),
    workspace: text(),
    method: text(),
    path: text(),
    headers,
    idempotent: flag,
    key: maybe(text()),
    fingerprint: text(),
    estimate: amount,
    body: bytes,
    bodyEnded: flag,
    attempt: whole,
    alone: flag
  },
  accepted: { request: text() },
  declined: {
    request: text(),
    reason: oneOf('expired', 'not-accepting', 'not-home', 'key-running', 'key-unknown', 'quarantined')
  },
  'request-body': { request: text(), data: bytes, ended: flag },
  cancel: { request: text() },
  credit: { request: text(), direction: oneOf('request', 'response'), bytes: whole },
  'response-head': { request: text(), status: whole, headers },
  'response-body': { request: text(), data: bytes },
  'response-end': { request: text(), trailers: headers, cost: amount },
  'response-failed': { request: text(), outcome: oneOf('not-run', 'unknown', 'ran'), reason: text(), crash: optional(crash) },
  'agent-state': {
    upstream: text(),
    service: text(),
    zone: text(),
    state: oneOf('ready', 'cold', 'draining', 'leaving', 'zone-out', 'down'),
    reason: text(),
    limit: amount,
    running: amount
  },
  counters: {
    entries: list(record({ origin: text(), service: text(), workspace: text(), total: amount, refund: amount })),
    lifts: list(record({ service: text(), workspace: text(), lift: amount })),
    backlogged: list(record({ service: text(), workspace: text(), router: text(), waiting: whole, age: amount })),
    base: optional(record({
      sum: amount,
      entries: list(record({ service: text(), workspace: text(), total: amount })),
      folded: list(text())
    }))
  },
  revision: { revision: whole, documents: optional(text()) },
  leaving: { hosts: list(text()) },
  quarantine: { workspace: text(), fingerprint: text(), remaining: amount },
  'crash-report': { workspace: text(), fingerprint: text(), upstream: text(), crash },
  'revision-ask': { revision: whole },
  hunger: { router: text(), zone: text(), service: text(), round: whole },
  'key-ask': {
    ask: whole, revision: whole, service: text(), workspace: text(), key: text(), fingerprint: text(), upstream: text()
  },
  'key-told': {
    ask: whole,
    state: oneOf('never', 'earlier', 'running', 'behind', 'ended', 'conflict', 'unknown'),
    answer: optional(keptAnswer),
    home: optional(record({ upstream: text(), revision: whole }))
  }
}

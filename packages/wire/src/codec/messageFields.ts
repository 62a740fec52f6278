/**
 * Schema of every message kind. The order of kinds and fields defines the wire format: new kinds are appended, and new
 * fields are appended to their kind and are optional, so that processes of different versions stay compatible.
 */
import type { Crash, HeaderList, StoredResponse, Message } from '../protocol/protocolTypes.js'
import {
  array, boolean, bytes, type Field, type Fields, finiteNumber, nonNegativeInteger, nullable, oneOf, optional, pair,
  record, string
} from './fields.js'

/** Discriminator of a message. */
export type MessageKind = Message['kind']

/** Type of the messages of one kind. */
export type MessageOf<K extends MessageKind> = Extract<Message, { readonly kind: K }>

type MessageFields = { readonly [K in MessageKind]: Fields<Omit<MessageOf<K>, 'kind'>> }

const crash: Field<Crash> = record({ id: string(), alone: boolean })

const headers: Field<HeaderList> = array(pair(string(), string()))

const storedResponse: Field<StoredResponse> = record({ status: nonNegativeInteger, headers, body: bytes })

/** Fields by message kind, in wire order. */
export const messageFields: MessageFields = {
  backlog: {
    service: string(),
    entries: array(record({ workspace: string(), waiting: finiteNumber, oldestWait: finiteNumber, headCost: finiteNumber }))
  },
  pull: { pull: nonNegativeInteger, service: string(), workspace: string() },
  'pull-empty': { pull: nonNegativeInteger },
  handover: {
    pull: nonNegativeInteger,
    request: string(),
    service: string(),
    workspace: string(),
    method: string(),
    path: string(),
    headers,
    idempotent: boolean,
    key: nullable(string()),
    fingerprint: string(),
    estimate: finiteNumber,
    body: bytes,
    bodyEnded: boolean,
    attempt: nonNegativeInteger,
    alone: boolean
  },
  accepted: { request: string() },
  declined: {
    request: string(),
    reason: oneOf('expired', 'not-accepting', 'not-home', 'key-running', 'key-unknown', 'quarantined')
  },
  'request-body': { request: string(), data: bytes, ended: boolean },
  cancel: { request: string() },
  credit: { request: string(), direction: oneOf('request', 'response'), bytes: nonNegativeInteger },
  'response-head': { request: string(), status: nonNegativeInteger, headers },
  'response-body': { request: string(), data: bytes },
  'response-end': { request: string(), trailers: headers, cost: finiteNumber },
  'response-failed': { request: string(), outcome: oneOf('not-run', 'unknown', 'ran'), reason: string(), crash: optional(crash) },
  'agent-state': {
    upstream: string(),
    service: string(),
    zone: string(),
    state: oneOf('ready', 'cold', 'draining', 'leaving', 'zone-out', 'down'),
    reason: string(),
    limit: finiteNumber,
    running: finiteNumber
  },
  counters: {
    entries: array(record({ origin: string(), service: string(), workspace: string(), total: finiteNumber, refund: finiteNumber })),
    lifts: array(record({ service: string(), workspace: string(), lift: finiteNumber })),
    backlogged: array(record({ service: string(), workspace: string(), router: string(), waiting: nonNegativeInteger, age: finiteNumber })),
    base: optional(record({
      sum: finiteNumber,
      entries: array(record({ service: string(), workspace: string(), total: finiteNumber })),
      folded: array(string())
    }))
  },
  revision: { revision: nonNegativeInteger, documents: optional(string()) },
  leaving: { hosts: array(string()) },
  quarantine: { workspace: string(), fingerprint: string(), remaining: finiteNumber },
  'crash-report': { workspace: string(), fingerprint: string(), upstream: string(), crash },
  'revision-ask': { revision: nonNegativeInteger },
  hunger: { router: string(), zone: string(), service: string(), round: nonNegativeInteger },
  'key-ask': {
    ask: nonNegativeInteger, revision: nonNegativeInteger, service: string(), workspace: string(), key: string(), fingerprint: string(), upstream: string()
  },
  'key-told': {
    ask: nonNegativeInteger,
    state: oneOf('never', 'earlier', 'running', 'behind', 'ended', 'conflict', 'unknown'),
    answer: optional(storedResponse),
    home: optional(record({ upstream: string(), revision: nonNegativeInteger }))
  }
}

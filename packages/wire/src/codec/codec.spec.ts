/** Encoding and decoding of frames and messages, and rejection of malformed input. */
import { describe, it } from 'node:test'
import { asId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { Packr } from 'msgpackr'
import type { Message } from '../protocol/protocolTypes.js'
import { decodeFrame, encodeFrame } from './frameCodec.js'
import type { OutgoingFrame } from './frameTypes.js'
import { encodeMessage, readMessage } from './messageCodec.js'
import { MalformedFrameError, pack, unpackSequence } from './packer.js'

const id = fc.string({ maxLength: 20 }).map(value => asId<never>(value))
const nonNegativeInteger = fc.maxSafeNat()
const finiteNumber = fc.double({ noNaN: true, noDefaultInfinity: true })
const data = fc.uint8Array({ maxLength: 300 }).map(value => Buffer.from(value))
const headers = fc.array(fc.tuple(fc.string(), fc.string()), { maxLength: 20 })

const plain = { noNullPrototype: true } as const

const messages: fc.Arbitrary<Message> = fc.oneof(
  fc.record({ kind: fc.constant('response-body' as const), request: id, data }, plain),
  fc.record({ kind: fc.constant('pull' as const), pull: nonNegativeInteger, service: id, workspace: id }, plain),
  fc.record({
    kind: fc.constant('handover' as const),
    pull: nonNegativeInteger,
    request: id,
    service: id,
    workspace: id,
    method: fc.string(),
    path: fc.string({ unit: 'binary' }),
    headers,
    idempotent: fc.boolean(),
    key: fc.option(fc.string(), { nil: undefined }),
    fingerprint: id,
    estimate: finiteNumber,
    body: data,
    bodyEnded: fc.boolean(),
    attempt: nonNegativeInteger,
    alone: fc.boolean()
  }, plain),
  fc.record({
    kind: fc.constant('counters' as const),
    entries: fc.array(fc.record({ origin: id, service: id, workspace: id, total: finiteNumber, refund: finiteNumber }, plain)),
    lifts: fc.array(fc.record({ service: id, workspace: id, lift: finiteNumber }, plain)),
    backlogged: fc.array(fc.record({ service: id, workspace: id, router: id, waiting: nonNegativeInteger, age: finiteNumber }, plain)),
    base: fc.record({ sum: finiteNumber, entries: fc.array(fc.record({ service: id, workspace: id, total: finiteNumber }, plain)), folded: fc.array(id) }, plain)
  }, plain),
  fc.record({ kind: fc.constant('revision' as const), revision: nonNegativeInteger, documents: fc.string() }, { ...plain, requiredKeys: ['kind', 'revision'] }) as fc.Arbitrary<Message>,
  fc.record({ kind: fc.constant('leaving' as const), hosts: fc.array(id) }, plain),
  fc.record({
    kind: fc.constant('key-ask' as const), ask: nonNegativeInteger, revision: nonNegativeInteger, service: id, workspace: id, key: fc.string(), fingerprint: id, upstream: id
  }, plain),
  fc.record({
    kind: fc.constant('key-told' as const),
    ask: nonNegativeInteger,
    state: fc.constantFrom('never', 'earlier', 'ended'),
    answer: fc.record({ status: nonNegativeInteger, headers, body: data }, plain),
    home: fc.record({ upstream: id, revision: nonNegativeInteger }, plain)
  }, { ...plain, requiredKeys: ['kind', 'ask', 'state'] }) as fc.Arbitrary<Message>
)

const dataFrame = (sent: readonly Message[]): OutgoingFrame => ({ kind: 'data', ack: 3, first: 9, payloads: sent.map(encodeMessage) })

/** Decodes bytes and fails the test on any error other than MalformedFrameError. */
const expectOnlyMalformedFrameError = (bytes: Uint8Array): void => {
  try {
    decodeFrame(bytes)
  } catch (err) {
    expect(err).toBeA(MalformedFrameError)
  }
}

describe('codec', () => {
  it('decodes an encoded frame to the same messages', () => {
    fc.assert(fc.property(fc.array(messages, { maxLength: 10 }), sent => {
      expect(decodeFrame(encodeFrame(dataFrame(sent)))).toEqual({ kind: 'data', ack: 3, first: 9, payloads: sent })
    }), { seed: 3, numRuns: 500 })
  })

  it('throws only MalformedFrameError for random bytes and for truncated or corrupted frames', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 100 }), expectOnlyMalformedFrameError), { seed: 4, numRuns: 5000 })
    fc.assert(fc.property(fc.array(messages, { maxLength: 3 }), fc.nat(), fc.nat(255), (sent, place, value) => {
      const bytes = Uint8Array.from(encodeFrame(dataFrame(sent)))
      const at = place % bytes.length
      expectOnlyMalformedFrameError(bytes.subarray(0, at))
      bytes[at] = value
      expectOnlyMalformedFrameError(bytes)
    }), { seed: 5, numRuns: 3000 })
  })

  it('rejects maps, extensions, 64-bit integers, deep nesting and lengths beyond the end of the input', () => {
    const unrestrictedPackr = new Packr({ moreTypes: true, useRecords: true })
    const deep = Array.from({ length: 10 }).reduce<unknown>(inner => [inner], 1)
    for (const value of [{ a: 1 }, new Map([[1, 2]]), new Set([1]), /x/, new Date(0), new Error('x'), deep, 2n ** 40n]) {
      expect(() => unpackSequence(unrestrictedPackr.pack(value))).toThrow(MalformedFrameError)
    }
    for (const bytes of [[0xdd, 0xff, 0xff, 0xff, 0xff], [0xc6, 0xff, 0xff, 0xff, 0xff, 1], [0xdb, 0x7f, 0xff, 0xff, 0xff], []]) {
      expect(() => unpackSequence(Uint8Array.from(bytes))).toThrow(MalformedFrameError)
    }
  })

  it('reports every invalid field of a message, and unknown message kinds', () => {
    const read = (...values: unknown[]) => () => readMessage(unpackSequence(pack(values))[0])
    expect(read(1, -1, 2, 'small')).toThrow(MalformedFrameError, 'malformed frame: pull.pull is not a non-negative integer; pull.service is not a string')
    expect(read(0, 'scribe', [['small', 1, 2, 'x']])).toThrow(MalformedFrameError, 'malformed frame: backlog.entries.0.headCost is not a finite number')
    expect(read(99)).toThrow(MalformedFrameError, 'malformed frame: unknown message kind')
    expect(read('pull')).toThrow(MalformedFrameError)
  })

  it('ignores trailing fields of a newer version', () => {
    expect(readMessage([2, 7, 'a field to come'])).toEqual({ kind: 'pull-empty', pull: 7 })
  })
})

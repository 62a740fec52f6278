import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { EventSplitter } from './eventSplitter.js'
import { mayContinue, mediaTypeOf, StreamContinuation } from './streamContinuation.js'

const HEADERS = new Set(['x-versions'])

/** Passes text through a splitter and a check in chunks that end at the given offsets. */
const pass = (text: string, lastId: number | undefined, cuts: readonly number[] = []): { forwarded: string[], continuation: StreamContinuation } => {
  const splitter = new EventSplitter()
  const continuation = new StreamContinuation(lastId, HEADERS)
  const bytes = Buffer.from(text)
  const offsets = [0, ...[...cuts].map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length]
  const forwarded = offsets.slice(1).map((end, at) => {
    const events = splitter.push(bytes.subarray(offsets[at], end))
    return events === undefined ? '' : continuation.accept(events.bytes).toString()
  })
  return { forwarded, continuation }
}

const accepted = (text: string): string => pass(text, 3).forwarded.join('')

describe('a check of a continued stream', () => {
  it('accepts events that go on, with gaps, other fields, the line of a header and either line end', () => {
    for (const text of [
      'id: 4\ndata: a\n\nid: 5\ndata: b\n\n', 'id: 4\ndata: a\n\nid: 9\ndata: b\n\n', 'event: token\ndata: a\ndata\nid:4\nretry: 5\n\n',
      'x-versions: 12\nid: 4\ndata: a\n\n', 'id: 4\r\ndata: a\r\n\r\nid: 5\r\n\r\n', ': note\nid: 4\ndata: \u00e9\n\n: note\n\n', 'id: 4\ndata: a\n\n\n\nid: 5\n\n'
    ]) expect(accepted(text)).toEqual(text)
    expect(pass('id: 0\ndata: a\n\n', undefined).forwarded).toEqual(['id: 0\ndata: a\n\n'])
  })

  it('drops comments before the first event, as they do not show that the stream goes on', () => {
    expect(accepted(': note\n\nid: 4\n\n')).toEqual('id: 4\n\n')
    const { forwarded, continuation } = pass(': note\n\n', 3)
    expect([forwarded.join(''), continuation.hasEvents, continuation.hasMismatch]).toEqual(['', false, false])
  })

  it('accepts nothing from the first event on that does not go on', () => {
    for (const text of [
      'lost\n\n', 'data: lost\n\n', 'id: 4\nlost\n\n', 'error: lost\nid: 4\n\n', 'id: 3\n\n', 'id: 2\n\n', 'id: 4x\n\n', 'id: \n\n', 'id: 4\nid: 5\n\n', 'id: -4\n\n',
      'id: 4444444444444444\n\n', 'HTTP/1.1 500 Internal Server Error\r\nid: 4\r\n\r\n', '{"error":\n"lost",\nid: 4\n\n', 'id: 4\nx-versions: 12\n\n', 'x-versions: 1a\nid: 4\n\n',
      'x-other: 12\nid: 4\n\n', 'x-versions: 12\n\n', 'retry: 5\n\n', 'id: 4\rlost\n\n', '\ufeffid: 4\n\n'
    ]) {
      expect([text, accepted(`${text}id: 10\ndata: a\n\n`)]).toEqual([text, ''])
      expect(accepted(`id: 4\ndata: a\n\n${text.replace('id: 4', 'id: 5')}`)).toEqual('id: 4\ndata: a\n\n')
    }
  })

  // Guards the order of events: pieces that come twice or go back, or foreign bytes, must not pass in any division into chunks.
  it('forwards whole events with increasing ids only, as many in one chunk as in several', () => {
    const end = fc.constantFrom('\n', '\r\n')
    const event = fc.record({ id: fc.option(fc.integer({ min: 0, max: 12 }), { freq: 12 }), line: fc.constantFrom('data: a', 'data: \u00e9', ': note', 'lost', 'event: x', 'data: id: 3'), end })
      .map(one => `${one.id === null ? '' : `id: ${one.id}${one.end}`}${one.line}${one.end}${one.end}`)
    const increasing = fc.array(fc.integer({ min: 4, max: 60 }), { maxLength: 6 }).map(ids => [...new Set(ids)].sort((a, b) => a - b).map(id => `id: ${id}\ndata: d\n\n`))
    fc.assert(fc.property(increasing, fc.array(event, { maxLength: 5 }), fc.array(fc.nat(400), { maxLength: 8 }), (sound, others, cuts) => {
      const text = [...sound, ...others].join('')
      const { forwarded, continuation } = pass(text, 3, cuts)
      const all = forwarded.join('')
      const atOnce = accepted(text)
      // A blank line that arrives apart from its event stays in the splitter, so that divided text may be behind by what follows its last event.
      expect(atOnce.startsWith(all)).toEqual(true)
      expect(text.replace(/^(?::[^\n]*\r?\n\r?\n)+/, '').startsWith(all)).toEqual(true)
      expect(all === '' || /\n\r?\n$/.test(all)).toEqual(true)
      const blocks = all.split(/\r?\n\r?\n/).filter(block => block !== '' && !/^(?::.*\r?\n?)+$/.test(block))
      const ids = blocks.map(block => Number(/^id: (\d+)$/m.exec(block.replaceAll('\r', ''))?.[1] ?? NaN))
      expect(ids.every((id, at) => id > (ids[at - 1] ?? 3))).toEqual(true)
      expect(/^lost/m.test(all)).toEqual(false)
      expect(continuation.lastId).toEqual(ids.at(-1) ?? 3)
      expect(others.length > 0 || all === text).toEqual(true)
    }), { numRuns: 500 })
  })
})

describe('the head of a response', () => {
  it('continues a stream with status 200 and the media type of events', () => {
    expect(mayContinue(200, mediaTypeOf([['Content-Type', 'Text/Event-Stream; charset=utf-8']]), 'text/event-stream')).toEqual(true)
    expect(mayContinue(200, undefined, undefined)).toEqual(true)
    expect([mayContinue(200, undefined, 'text/event-stream'), mayContinue(200, 'application/json', undefined), mayContinue(206, 'text/event-stream', undefined)]).toEqual([false, false, false])
  })
})

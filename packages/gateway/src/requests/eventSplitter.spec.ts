import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { EventSplitter } from './eventSplitter.js'

/** Id of the last event by the format of server-sent events, as a plain search of the text. */
const searchLastId = (text: string): number | undefined => {
  const last = [...text.matchAll(/^id: ?(\d+)\r?$/gm)].at(-1)?.[1]
  return last === undefined ? undefined : Number(last)
}

const line = fc.oneof(
  fc.nat(99_999).map(id => `id: ${id}`), fc.nat(99).map(id => `id:${id}`),
  fc.constantFrom('id: ', 'id: 4x', 'id:  5', 'xid: 6', 'data: id: 7', 'id: 8 ', 'data: text', '', 'i', 'd:')
)

describe('an event splitter', () => {
  // Guards the resume position: a wrong id makes a resumed stream repeat or skip events.
  it('finds the last id of what it returns, wherever chunks are cut', () => {
    fc.assert(fc.property(fc.array(line, { maxLength: 12 }), fc.constantFrom('\n', '\r\n'), fc.nat(60), (lines, end, cut) => {
      const text = lines.map(one => `${one}${end}`).join('') + end + end
      const splitter = new EventSplitter()
      const events = [splitter.push(Buffer.from(text.slice(0, cut))), splitter.push(Buffer.from(text.slice(cut)))]
      const complete = events.map(one => one?.bytes.toString() ?? '').join('')
      // A blank line that arrives apart from the event that it follows stays pending.
      expect(text.startsWith(complete)).toEqual(true)
      expect(splitter.pendingBytes).toEqual(text.length - complete.length)
      expect(splitter.pendingBytes).toBeLessThanOrEqual(end.length)
      expect(events.flatMap(one => one?.lastId ?? []).at(-1)).toEqual(searchLastId(complete))
    }))
  })

  // Guards the event loop: an event of 256 KB that arrives in pieces of 8 bytes was copied and searched again for each of them, for seconds.
  for (const pieceBytes of [1, 8, 64, 1000]) {
    it(`does work in proportion to the bytes of an event that arrives in pieces of ${pieceBytes} bytes`, () => {
      const splitter = new EventSplitter()
      const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(256 * 1024)}\n\n`)
      let received: Buffer | undefined
      for (let at = 0; at < event.length; at += pieceBytes) received = splitter.push(event.subarray(at, at + pieceBytes))?.bytes ?? received
      expect(received?.equals(event)).toEqual(true)
      expect(splitter.processedBytes).toBeLessThanOrEqual(4 * event.length)
    })
  }

  // Guards the resume position: after an event without an id, a resumed stream would bring it again.
  it('tells whether an event without an id follows the last one that has one', () => {
    const endsWithId = (text: string): boolean => {
      const [whole, cut] = [new EventSplitter(), new EventSplitter()]
      whole.push(Buffer.from(text))
      // A blank line that has arrived ends its event.
      for (const part of text.split(/(?<=\n\r?\n)/)) cut.push(Buffer.from(part))
      expect(cut.endsWithId).toEqual(whole.endsWithId)
      return whole.endsWithId
    }
    for (const text of ['id: 1\ndata: a\n\n', 'data: a\nid: 1\n\n', 'id: 1\r\ndata: a\r\n\r\n', 'data: a\n\nid: 2\ndata: b\n\n', 'id: 1\n\n: note\n\n\n', ': note\n\n']) expect([text, endsWithId(text)]).toEqual([text, true])
    for (const text of ['data: a\n\n', 'id: 1\ndata: a\n\ndata: b\n\n', 'id: 1\r\n\r\n: note\r\ndata: b\r\n\r\n', 'id: 1\n\nid: 2x\n\n', 'id: 1\n\nid: 1234567890123456\n\n']) expect([text, endsWithId(text)]).toEqual([text, false])
  })
})

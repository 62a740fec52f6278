import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ResponseBoundary } from './responseBoundary.js'

const sized = (body: string): string => `HTTP/1.1 200 OK\r\nX: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`
const chunked = (parts: readonly string[]): string =>
  `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${parts.filter(part => part !== '').map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('')}0\r\n\r\n`

/** Bodies that look like marks of the format. */
const body = fc.array(fc.constantFrom('\r', '\n', '\r\n', '0\r\n\r\n', 'HTTP/1.1 200 OK\r\n\r\n', 'a', 'id: 1\n\n'), { maxLength: 6 }).map(parts => parts.join(''))
const response = fc.oneof(
  body.map(sized), fc.array(body, { maxLength: 4 }).map(chunked),
  fc.constantFrom('HTTP/1.1 204 No Content\r\n\r\n', 'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n', `${chunked(['a']).slice(0, -2)}x: y\r\n\r\n`)
)

describe('the boundary of responses on a connection', () => {
  // Guards against a head that is written into the middle of a response.
  it('is where a response ends and nowhere else, wherever the bytes are cut', () => {
    fc.assert(fc.property(fc.array(response, { minLength: 1, maxLength: 4 }), fc.array(fc.nat(500), { maxLength: 8 }), (responses, cuts) => {
      const bytes = Buffer.from(responses.join(''), 'latin1')
      const ends = new Set(responses.map((_, at) => responses.slice(0, at + 1).join('').length))
      const offsets = [...new Set(cuts.map(cut => cut % (bytes.length + 1))), ...ends].sort((a, b) => a - b)
      const boundary = new ResponseBoundary()
      let from = 0
      for (const to of offsets) {
        boundary.push(bytes.subarray(from, to))
        from = to
        expect(boundary.isBetween).toEqual(to === 0 || ends.has(to))
        expect(boundary.endsWithConnection).toEqual(false)
      }
    }), { numRuns: 1000 })
  })

  it('is not known after a response without a length, or bytes that are no response', () => {
    for (const text of ['HTTP/1.1 200 OK\r\n\r\n', 'HTTP/1.0 200 OK\r\nconnection: close\r\n\r\n', 'lost\r\n\r\n', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\n', `HTTP/1.1 200 ${'a'.repeat(200_000)}`]) {
      const boundary = new ResponseBoundary()
      boundary.push(Buffer.from(text))
      boundary.push(Buffer.from(sized('')))
      expect([boundary.isBetween, boundary.endsWithConnection]).toEqual([false, true])
    }
  })
})

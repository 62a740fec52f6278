import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ResponseRelay } from './responseRelay.js'

/** Time without further bytes after which a response counts as received, and the longest wait for its first byte. */
const QUIET_MS = 40
const FIRST_BYTE_TIMEOUT_MS = 5000

/** Responds to one raw request through a relay and returns the bytes that the caller receives. */
const respond = async (isStream: boolean, act: (relay: ResponseRelay, res: ServerResponse) => void): Promise<string> => {
  const server = createServer((_req, res) => { act(new ResponseRelay(res, isStream, undefined), res) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let bytes = ''
  socket.on('error', () => {})
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  await new Promise<void>(resolve => {
    let timer = setTimeout(resolve, FIRST_BYTE_TIMEOUT_MS)
    socket.on('data', chunk => {
      bytes += chunk.toString()
      clearTimeout(timer)
      timer = setTimeout(resolve, QUIET_MS)
    })
  })
  socket.destroy()
  server.closeAllConnections()
  server.close()
  return bytes
}

describe('a forwarded response', () => {
  it('has a content length when the upstream delimited its body', async () => {
    const bytes = await respond(false, relay => {
      relay.head(200, [['content-length', '4'], ['connection', 'close'], ['keep-alive', 'timeout=1'], ['x-own', 'a']])
      relay.data(Buffer.from('body'))
      relay.end()
    })
    expect(bytes).toMatchRegex(/content-length: 4\r\n/i)
    expect(bytes).toMatchRegex(/x-own: a\r\n/)
    expect(bytes).not.toMatchRegex(/timeout=1/)
  })

  it('has no content length when the upstream gave none, and ends with its connection', async () => {
    const bytes = await respond(false, relay => {
      relay.head(200, [['x-own', 'a']])
      relay.data(Buffer.from('part'))
      relay.end()
    })
    expect(bytes).toMatchRegex(/connection: close/i)
    expect(bytes).not.toMatchRegex(/content-length|transfer-encoding/i)
  })

  it('contains complete events only, and is not ended inside one', async () => {
    let isComplete = true
    const bytes = await respond(true, relay => {
      relay.head(200, [['transfer-encoding', 'chunked']])
      relay.data(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
      isComplete = relay.end()
      expect(relay.lastEventId).toEqual(1)
    })
    expect(isComplete).toEqual(false)
    expect(bytes).toMatchRegex(/id: 1\ndata: a/)
    expect(bytes).not.toMatchRegex(/id: 2/)
  })

  it('keeps the headers of the first attempt and continues after its last complete event', async () => {
    const bytes = await respond(true, relay => {
      relay.head(200, [['transfer-encoding', 'chunked'], ['x-run', 'first']])
      relay.data(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
      relay.head(200, [['transfer-encoding', 'chunked'], ['x-run', 'second']])
      relay.data(Buffer.from('id: 2\ndata: b\n\n'))
      expect(relay.end()).toEqual(true)
    })
    expect(bytes).toMatchRegex(/x-run: first/)
    expect(bytes).not.toMatchRegex(/x-run: second/)
    expect((bytes.match(/id: 2/g) ?? []).length).toEqual(1)
  })
})

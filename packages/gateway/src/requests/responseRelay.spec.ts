import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ResponseRelay } from './responseRelay.js'

/** Answers one raw request by a relay and returns the bytes that the caller gets. */
const answer = async (isStream: boolean, act: (relay: ResponseRelay, res: ServerResponse) => void): Promise<string> => {
  const server = createServer((_req, res) => { act(new ResponseRelay(res, isStream, undefined), res) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let bytes = ''
  socket.on('data', chunk => { bytes += chunk.toString() })
  socket.on('error', () => {})
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  await new Promise(resolve => { setTimeout(resolve, 40) })
  socket.destroy()
  server.closeAllConnections()
  server.close()
  return bytes
}

describe('an answer that is passed on', () => {
  it('has the length of its body when the upstream said where it ends', async () => {
    const bytes = await answer(false, relay => {
      relay.head(200, [['content-length', '4'], ['connection', 'close'], ['keep-alive', 'timeout=1'], ['x-own', 'a']])
      relay.data(Buffer.from('body'))
      relay.end()
    })
    expect(bytes).toMatchRegex(/content-length: 4\r\n/i)
    expect(bytes).toMatchRegex(/x-own: a\r\n/)
    expect(bytes).not.toMatchRegex(/timeout=1/)
  })

  it('has no length when the upstream gave none, and ends with its connection', async () => {
    const bytes = await answer(false, relay => {
      relay.head(200, [['x-own', 'a']])
      relay.data(Buffer.from('part'))
      relay.end()
    })
    expect(bytes).toMatchRegex(/connection: close/i)
    expect(bytes).not.toMatchRegex(/content-length|transfer-encoding/i)
  })

  it('passes whole events on, and is not ended inside one', async () => {
    let whole = true
    const bytes = await answer(true, relay => {
      relay.head(200, [['transfer-encoding', 'chunked']])
      relay.data(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
      whole = relay.end()
      expect(relay.lastEventId).toEqual(1)
    })
    expect(whole).toEqual(false)
    expect(bytes).toMatchRegex(/id: 1\ndata: a/)
    expect(bytes).not.toMatchRegex(/id: 2/)
  })

  it('keeps the head of the first run and goes on after its last whole event', async () => {
    const bytes = await answer(true, relay => {
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

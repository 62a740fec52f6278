import { type AddressInfo, connect, createServer } from 'node:net'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { resetSocket } from './resetSocket.js'

describe('a connection that is reset', () => {
  for (const [state, isEnded] of [['open', false], ['being shut down', true]] as const) {
    it(`closes at both ends when it is ${state}`, { timeout: 2000 }, async () => {
      const server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1')
      await once(server, 'listening')
      const accepted = once(server, 'connection')
      const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
      const [other] = await accepted
      other.on('error', () => {}).on('end', () => other.end())
      const closed = [once(socket, 'close'), new Promise(resolve => { other.once('close', resolve) })]
      if (isEnded) socket.end()
      await new Promise<void>(resolve => { process.nextTick(resolve) })
      resetSocket(socket)
      await Promise.all(closed)
      server.close()
      expect([socket.destroyed, other.destroyed]).toEqual([true, true])
    })
  }
})

/** Accepts sessions on a port. */
import type { AddressInfo } from 'node:net'
import { EventSource } from '@fuchsiaworks/kernel'
import { type WebSocket, WebSocketServer } from 'ws'
import { decode, encode } from '../codec/codec.js'
import { BasicSession } from '../session/basicSession.js'
import type { Identity, ListenSessions, Session } from '../session/sessionTypes.js'

export const listenSessions: ListenSessions = async options => {
  const sessions = new EventSource<Session>()
  const live = new Set<Session>()
  const server = new WebSocketServer({ host: options.host, port: options.port, perMessageDeflate: false })
  const greet = (socket: WebSocket, peer: Identity): void => {
    socket.send(encode(options.identity))
    const session = new BasicSession(peer, socket, options.clock)
    live.add(session)
    session.ended.then(() => live.delete(session))
    sessions.emit(session)
  }
  server.on('connection', socket => {
    socket.on('error', () => { socket.terminate() })
    socket.once('message', (data: Buffer) => { greet(socket, decode(data) as Identity) })
  })
  await new Promise((resolve, reject) => { server.once('listening', resolve).once('error', reject) })
  const { address, port } = server.address() as AddressInfo
  const close = async (): Promise<void> => {
    for (const session of live) session.close()
    for (const socket of server.clients) socket.close()
    await new Promise(resolve => { server.close(resolve) })
    sessions.close()
  }
  return { address: { host: address, port }, sessions: sessions.stream, close }
}

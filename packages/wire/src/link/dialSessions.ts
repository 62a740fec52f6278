/** Keeps one peer address connected. */
import { EventSource } from '@fuchsiaworks/kernel'
import { WebSocket } from 'ws'
import { decode, encode } from '../codec/codec.js'
import { BasicSession } from '../session/basicSession.js'
import type { DialSessions, Identity, Session } from '../session/sessionTypes.js'

/** Milliseconds before the next attempt. */
const RETRY_MS = 100

export const dialSessions: DialSessions = options => {
  const sessions = new EventSource<Session>()
  let open = true
  let current: Session | undefined
  let socket: WebSocket | undefined
  const dial = (): void => {
    if (!open) return
    const ws = new WebSocket(`ws://${options.host}:${options.port}`, { perMessageDeflate: false })
    socket = ws
    ws.on('error', () => { ws.terminate() })
    ws.on('close', () => { options.clock.after(RETRY_MS, dial) })
    ws.on('open', () => { ws.send(encode(options.identity)) })
    ws.once('message', (data: Buffer) => {
      current = new BasicSession(decode(data) as Identity, ws, options.clock)
      sessions.emit(current)
    })
  }
  dial()
  const close = (): void => {
    open = false
    current?.close()
    socket?.close()
    sessions.close()
  }
  return { sessions: sessions.stream, close }
}

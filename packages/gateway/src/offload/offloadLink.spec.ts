import { EventEmitter } from 'node:events'
import { afterEach, describe, it, mock } from 'node:test'
import { systemClock } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import type { WebSocket } from 'ws'
import { decodeOffloadFrames } from './offloadCodec.js'
import { OffloadLink } from './offloadLink.js'

const PIECES = 20_000
const PIECE = Buffer.from('id: 1\n\n\n')

describe('an offload link', () => {
  afterEach(() => { mock.restoreAll() })

  // Guards the event loop: what a connection had in the batch was copied again for each further piece of its response.
  it('copies the pieces of a response once, however many there are in a batch', () => {
    let copiedBytes = 0
    const concat = Buffer.concat.bind(Buffer)
    mock.method(Buffer, 'concat', (list: readonly Uint8Array[], length?: number) => {
      const joined = concat(list, length)
      copiedBytes += joined.length
      return joined
    })
    const sent: Buffer[] = []
    const socket = Object.assign(new EventEmitter(), { OPEN: 1, readyState: 1, send: (message: Buffer) => { sent.push(message) }, terminate: () => {} })
    const link = new OffloadLink(systemClock, socket as unknown as WebSocket, 1000, { onFrame: () => {}, isInUse: () => true, onClose: () => {} })
    for (let nth = 0; nth < PIECES; nth++) link.send({ kind: 'data', connection: nth % 2, bytes: PIECE, unreadMs: 0 })
    link.flush()
    link.close()
    const frames = decodeOffloadFrames(sent[0] ?? Buffer.alloc(0))
    expect(frames.map(frame => frame.kind === 'data' ? frame.bytes.length : 0)).toEqual([PIECES / 2 * PIECE.length, PIECES / 2 * PIECE.length])
    expect(copiedBytes).toBeLessThanOrEqual(2 * PIECES * PIECE.length)
  })
})

import { execFileSync } from 'node:child_process'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { asId, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import { putUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { Caller } from '../callers/caller.js'
import { createRequest } from '../callers/createRequest.js'
import { emptyObservations, type SentRequest } from '../invariants/observationTypes.js'
import { buildFleet } from './fleet.js'
import { Operator } from './operator.js'
import { SERVICES } from './routes.js'
import { UpstreamStandin } from './upstreamStandin.js'
import { pause } from './versionedFleet.js'

const BUNDLE_SCRIPT = fileURLToPath(new URL('../../../scripts/bundle.mjs', import.meta.url))

const FLEET_START_MS: Millis = 4000

/** Requests to the sound service, and the interval between them. */
const REQUESTS = 60
const REQUEST_INTERVAL_MS: Millis = 50

/** Requests of which each gets a garbled response. */
const GARBLED = 3

/** Bytes of a piece of an endless response: about one token. */
const PIECE_BYTES = 8

/** Time after its timeout within which a request has a final answer, by the users' rules. */
const FINAL_ANSWER_MS: Millis = 500

/** Writes pieces of an event that does not end, as fast as the gateway reads. */
const writeEndlessEvent = (res: ServerResponse, attempt: string): void => {
  res.writeHead(200, { [HEADER.attemptId]: attempt, [HEADER.responseSeal]: 'seal', 'content-type': 'text/event-stream' })
  const piece = Buffer.alloc(PIECE_BYTES, 'x')
  const write = (): void => { while (!res.destroyed && res.write(piece)); }
  res.on('drain', write)
  write()
}

/** Responds with a status that HTTP does not have. */
const writeInvalidStatus = (res: ServerResponse, attempt: string): void => {
  res.socket?.end(`HTTP/1.1 020 OK\r\n${HEADER.attemptId}: ${attempt}\r\ncontent-length: 2\r\n\r\nok`)
}

/** Sends requests to a sound service while another one garbles its responses. */
const play = async (garble: (res: ServerResponse, attempt: string) => void): Promise<SentRequest[]> => {
  const fleet = await buildFleet(systemClock, 1)
  const sound = new UpstreamStandin(systemClock, { id: 'sound', service: SERVICES.plain, zone: 'north', slots: 8 }, emptyObservations(), () => {})
  const garbling = createServer((req, res) => {
    req.resume()
    req.on('end', () => { garble(res, String(req.headers[HEADER.attemptId])) })
  })
  const caller = new Caller(systemClock, fleet.gateways[0]?.ports.callers ?? 0)
  try {
    await sound.start()
    await new Promise<void>(resolve => { garbling.listen(0, '127.0.0.1', resolve) })
    const operator = new Operator(systemClock, fleet.store, emptyObservations())
    operator.publish()
    putUpstream(fleet.store, { id: asId('sound'), service: asId(SERVICES.plain), zone: asId('north'), address: `127.0.0.1:${sound.port}`, slots: 8, isDraining: false }, 0)
    putUpstream(fleet.store, { id: asId('garbling'), service: asId(SERVICES.stream), zone: asId('north'), address: `127.0.0.1:${(garbling.address() as AddressInfo).port}`, slots: 8, isDraining: false }, 0)
    fleet.gateways[0]?.start()
    await pause(FLEET_START_MS)
    const requests: SentRequest[] = []
    const send = (kind: 'safe' | 'stream', attempt: string): SentRequest => {
      const sent = createRequest(systemClock, operator, { gateway: 0, kind, attempt })
      if (sent === undefined) throw new RangeError('no key')
      caller.send(sent, { isNewConnection: kind === 'stream' })
      return sent
    }
    for (let nth = 0; nth < REQUESTS; nth++) {
      if (nth % (REQUESTS / GARBLED) === 0) send('stream', `garbled${nth}`)
      requests.push(send('safe', `sound${nth}`))
      await pause(REQUEST_INTERVAL_MS)
    }
    await pause((requests[0]?.timeoutMs ?? 0) + FINAL_ANSWER_MS)
    return requests
  } finally {
    caller.close()
    await fleet.close()
    sound.close()
    garbling.close()
    garbling.closeAllConnections()
  }
}

/** Guards against a garbled response that occupies the event loop for seconds, in which no other request is served or timed out. */
describe('requests to a sound service, while an upstream of another one responds', () => {
  // One of the causes was in how the program is bundled.
  before(() => { execFileSync(process.execPath, [BUNDLE_SCRIPT]) })

  for (const [title, garble] of [['with an event that does not end, in small pieces', writeEndlessEvent], ['with a status below 100', writeInvalidStatus]] as const) {
    it(`${title}, are served in time`, async () => {
      const requests = await play(garble)
      const late = requests.filter(({ sentAt, timeoutMs, end }) => end === undefined || end.at - sentAt > timeoutMs + FINAL_ANSWER_MS)
      const served = requests.filter(({ end }) => end?.kind === 'response' && end.status === 200)
      console.log(`${served.length} of ${requests.length} served, ${late.length} late; the slowest ended after ${Math.round(Math.max(...requests.map(({ sentAt, end }) => (end?.at ?? Infinity) - sentAt)))} ms`)
      expect([late.length, served.length]).toEqual([0, REQUESTS])
    })
  }
})

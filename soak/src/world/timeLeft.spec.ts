import { createServer } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { describe, it } from 'node:test'
import { asId, type Millis, systemClock } from '@fuchsiaworks/kernel'
import { HEADER } from '@fuchsiaworks/platform-adapter'
import { putUpstream } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { BOUNDS } from '../invariants/bounds.js'
import { emptyObservations } from '../invariants/observationTypes.js'
import { buildFleet, type Fleet } from './fleet.js'
import { COMPILED_PROGRAM } from './gatewayProcess.js'
import { Operator } from './operator.js'
import { HOST, SERVICES } from './routes.js'
import { Throttle } from './throttle.js'

/** Share of a core that the pressed gateway gets; it accepts fewer connections than arrive, so that they wait in its listen queue for about a second. */
const SHARE = 0.1
const CALLERS_PER_SECOND = 300
const SURGE_MS: Millis = 8000
const FLEET_START_MS: Millis = 4000

/** Time for which each caller waits. */
const DEADLINE_MS: Millis = 3200

const WORK_MS: Millis = 25

/** Requests whose time limit may end `LATE_MS` after their callers have left, as a number or share, whichever is more. */
const LATE_MS: Millis = 500
const MAX_LATE = { requests: 20, share: 0.2 } as const

/** Time by which a limit may end before its caller leaves: the longest pause of the throttled gateway. */
const EARLY_MS: Millis = 40

const pause = async (ms: Millis): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

/** Callers of the pressed gateway, each with a connection of its own on which it sends one request as soon as it is open. */
class Callers {
  readonly sentAt = new Map<string, Millis>()
  served = 0

  constructor (readonly port: number, readonly key: string) {}

  call (attempt: string): void {
    const socket = connect(this.port, '127.0.0.1', () => {
      this.sentAt.set(attempt, systemClock.now())
      socket.write(`POST /stream/x HTTP/1.1\r\nHost: ${HOST}\r\n${HEADER.attemptId}: ${attempt}\r\n${HEADER.deadlineMs}: ${DEADLINE_MS}\r\nAuthorization: Bearer ${this.key}\r\nConnection: close\r\n\r\n`)
    })
    const timer = systemClock.after(DEADLINE_MS, () => { socket.destroy() })
    socket.once('data', chunk => { if (String(chunk).startsWith('HTTP/1.1 200')) this.served += 1 })
    socket.on('error', () => {})
    socket.on('close', () => { timer.close() })
  }
}

/** A request as its upstream received it. */
interface Arrival {
  readonly attempt: string
  readonly at: Millis
  /** Time at which its limit ends. */
  readonly endsAt: Millis
}

/** Starts the only upstream, which records the requests. */
const startUpstream = async ({ store }: Fleet, arrivals: Arrival[]): Promise<() => void> => {
  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    const attempt = String(req.headers[HEADER.attemptId])
    const at = systemClock.now()
    arrivals.push({ attempt, at, endsAt: at + Number(req.headers[HEADER.deadlineMs]) })
    systemClock.after(WORK_MS, () => { res.writeHead(200, { [HEADER.attemptId]: attempt, [HEADER.responseSeal]: 's' }).end('id: 1\ndata: x\n\n') })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  putUpstream(store, { id: asId('u0'), service: asId(SERVICES.stream), zone: asId('north'), address: `127.0.0.1:${(server.address() as AddressInfo).port}`, slots: 200, isDraining: false }, 0)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}

describe('a request that has waited in the listen queue of a busy gateway', () => {
  it('is sent with the time that its caller still waits, also by the peer that serves the connection, and not at all once its caller has left', async () => {
    const fleet = await buildFleet(systemClock, 3, COMPILED_PROGRAM)
    const arrivals: Arrival[] = []
    const closeUpstream = await startUpstream(fleet, arrivals)
    try {
      const operator = new Operator(systemClock, fleet.store, emptyObservations())
      operator.publish()
      for (const gateway of fleet.gateways) gateway.start()
      await pause(FLEET_START_MS)
      const [pressed] = fleet.gateways
      if (pressed === undefined) throw new RangeError('no gateway')
      const throttle = new Throttle(systemClock, pressed, SHARE)
      const callers = new Callers(pressed.ports.callers, operator.keyOfFirstWorkspace()?.key ?? '')
      const startedAt = systemClock.now()
      let called = 0
      const timer = systemClock.every(5, () => {
        for (; called < (systemClock.now() - startedAt) / 1000 * CALLERS_PER_SECOND; called++) callers.call(`a${called}`)
      })
      await pause(SURGE_MS)
      timer.close()
      await pause(DEADLINE_MS)
      throttle.close()
      const overMs = arrivals.map(({ attempt, endsAt }) => endsAt - (callers.sentAt.get(attempt) ?? Infinity) - DEADLINE_MS)
      const late = overMs.filter(ms => ms > LATE_MS).length
      const abandoned = arrivals.filter(({ attempt, at }) => at > (callers.sentAt.get(attempt) ?? Infinity) + DEADLINE_MS + BOUNDS.abandonedWorkMs).length
      console.log(`${callers.served} of ${called} callers served; ${abandoned} requests arrived after their callers had left; the limits of ${late} of ${arrivals.length} requests end over ${LATE_MS} ms late, the earliest ${Math.round(Math.min(...overMs))} ms late`)
      expect(abandoned).toBeLessThanOrEqual(BOUNDS.lateAbandonedRequests)
      expect(late).toBeLessThanOrEqual(Math.max(MAX_LATE.requests, arrivals.length * MAX_LATE.share))
      expect(Math.min(...overMs)).toBeGreaterThanOrEqual(-EARLY_MS)
    } finally {
      await fleet.close()
      closeUpstream()
    }
  })
})

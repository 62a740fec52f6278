import { describe, it } from 'node:test'
import { asId, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { decideAdmission } from './admission.js'
import type { AdmissionDb } from './admissionDb.js'
import { admissionDefinition } from './admissionDefinition.js'
import type { AdmissionCommand } from './admissionTypes.js'
import { backlogForUpstream } from './backlogView.js'

const service = asId<ServiceId>('scribe')
const zone = asId<ZoneId>('regina')
const upstreamId = (name: string): UpstreamId => asId<UpstreamId>(name)
const requestId = (name: string): RequestId => asId<RequestId>(name)

const arrive = (db: AdmissionDb, name: string, now: number, options: { workspace?: string, patience?: number, home?: UpstreamId } = {}): AdmissionCommand[] => {
  const { workspace = 'a', patience = 10_000, ...rest } = options
  return decideAdmission(db, { kind: 'request-arrived', request: requestId(name), service, workspace: asId<WorkspaceId>(workspace), patience, estimate: 10, idempotent: true, ...rest, now })
}
const pull = (db: AdmissionDb, now: number, upstream = 'u', workspace = 'a'): AdmissionCommand[] =>
  decideAdmission(db, { kind: 'pull', pull: 1, from: { agent: upstream, upstream: upstreamId(upstream), zone }, service, workspace: asId<WorkspaceId>(workspace), now })
const handedOver = (commands: AdmissionCommand[]): string[] => commands.flatMap(command => command.kind === 'hand-over' ? [command.waiting.request] : [])
const refused = (commands: AdmissionCommand[]): string[] => commands.flatMap(command => command.kind === 'refuse' ? [`${command.request} ${command.reason}`] : [])

describe('admission queue of a router', () => {
  it('hands over requests in order of arrival and requeues a declined request at its old position', () => {
    const db = admissionDefinition.createDb()
    for (const name of ['1', '2', '3']) arrive(db, name, 0)
    const handover = pull(db, 1)[0]
    expect(handedOver(pull(db, 1))).toEqual(['2'])
    if (handover?.kind === 'hand-over') decideAdmission(db, { kind: 'requeue', waiting: handover.waiting, now: 2 })
    expect([...handedOver(pull(db, 3)), ...handedOver(pull(db, 3)), ...handedOver(pull(db, 3))]).toEqual(['1', '3'])
  })

  it('hands over a request with a home only to that upstream, and lets later requests pass it', () => {
    const db = admissionDefinition.createDb()
    arrive(db, 'keyed', 0, { home: upstreamId('h') })
    arrive(db, 'plain', 0)
    expect(backlogForUpstream(db, service, { upstream: upstreamId('u'), zone }, 5).map(entry => entry.waiting)).toEqual([1])
    expect(backlogForUpstream(db, service, { upstream: upstreamId('h'), zone }, 5).map(entry => entry.waiting)).toEqual([2])
    expect(handedOver(pull(db, 5))).toEqual(['plain'])
    expect(handedOver(pull(db, 5))).toEqual([])
    expect(handedOver(pull(db, 5, 'h'))).toEqual(['keyed'])
  })

  it('refuses a request at once when the predicted wait exceeds its patience, with a Retry-After', () => {
    const db = admissionDefinition.createDb()
    for (let i = 0; i < 40; i++) arrive(db, `${i}`, 0, { patience: 60_000 })
    for (let now = 1000; now <= 20_000; now += 1000) pull(db, now)
    const commands = arrive(db, 'late', 20_000, { patience: 5_000 })
    expect(refused(commands)).toEqual(['late predicted-wait'])
    const retryAfterMs = commands[0]?.kind === 'refuse' ? commands[0].retryAfterMs : 0
    expect(retryAfterMs > 12_000 && retryAfterMs < 18_000).toEqual(true)
    expect(refused(arrive(db, 'patient', 20_000, { patience: 30_000 }))).toEqual([])
  })

  it('refuses queued requests once they are predicted to miss their deadline, and the head of the queue only at its deadline', () => {
    const db = admissionDefinition.createDb()
    arrive(db, 'next', 0)
    for (let i = 0; i < 5; i++) arrive(db, `${i}`, 0)
    expect(refused(decideAdmission(db, { kind: 'tick', now: 5_000 }))).toEqual(['2 predicted-wait', '3 predicted-wait', '4 predicted-wait'])
    expect(refused(decideAdmission(db, { kind: 'tick', now: 10_000 })).includes('next deadline')).toEqual(true)
  })

  it('does not refuse or delay a workspace because of a flood from another one', () => {
    const db = admissionDefinition.createDb()
    for (let i = 0; i < 3_000; i++) arrive(db, `flood ${i}`, i)
    expect(refused(arrive(db, 'small', 3_000, { workspace: 'b', patience: 50 }))).toEqual([])
    expect(handedOver(pull(db, 3_001, 'u', 'b'))).toEqual(['small'])
  })

  it('hands over nothing to a zone that is out of service', () => {
    const db = admissionDefinition.createDb()
    arrive(db, '1', 0)
    decideAdmission(db, { kind: 'config-changed', weights: new Map(), zonesOut: new Set([zone]) })
    expect(handedOver(pull(db, 1))).toEqual([])
    expect(backlogForUpstream(db, service, { upstream: upstreamId('u'), zone }, 1)).toEqual([])
  })

  it('accepts requests immediately after a long outage of the whole service', () => {
    const db = admissionDefinition.createDb()
    for (let i = 0; i < 3; i++) arrive(db, `${i}`, 0, { patience: 100 })
    decideAdmission(db, { kind: 'tick', now: 60_000 })
    expect([...refused(arrive(db, 'x', 60_001)), ...refused(arrive(db, 'y', 60_001))]).toEqual([])
  })

  it('refuses nothing during a stall of a few seconds after steady service', () => {
    const db = admissionDefinition.createDb()
    for (let now = 0; now < 30_000; now += 50) {
      arrive(db, `steady ${now}`, now, { patience: 20_000 })
      pull(db, now + 1)
    }
    const commandsDuringStall: AdmissionCommand[] = []
    for (let now = 30_000; now < 34_000; now += 50) {
      commandsDuringStall.push(...arrive(db, `stalled ${now}`, now, { patience: 20_000 }))
      commandsDuringStall.push(...decideAdmission(db, { kind: 'tick', now }))
    }
    expect(refused(commandsDuringStall)).toEqual([])
  })

  it('ends each request exactly once and never hands it over after its deadline', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('arrive' as const), workspace: fc.constantFrom('a', 'b'), patience: fc.integer({ min: 10, max: 3_000 }), keyed: fc.boolean() }),
      fc.record({ kind: fc.constant('pull' as const), workspace: fc.constantFrom('a', 'b'), upstream: fc.constantFrom('u', 'h'), decline: fc.boolean() }),
      fc.record({ kind: fc.constant('gone' as const), which: fc.nat(30) }),
      fc.record({ kind: fc.constant('tick' as const), span: fc.integer({ min: 1, max: 500 }) })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const db = admissionDefinition.createDb({ maxWaiting: 8 })
      const openRequests = new Set<string>()
      const endRequest = (name: string): void => { expect(openRequests.delete(name)).toEqual(true) }
      let now = 0
      const applyCommands = (commands: AdmissionCommand[], decline = false): void => {
        for (const command of commands) {
          if (command.kind === 'refuse') endRequest(command.request)
          if (command.kind !== 'hand-over') continue
          expect(command.waiting.deadline).toBeGreaterThan(now)
          if (decline) applyCommands(decideAdmission(db, { kind: 'requeue', waiting: command.waiting, now }))
          else endRequest(command.waiting.request)
        }
      }
      steps.forEach((event, i) => {
        now += 5
        if (event.kind === 'arrive') {
          openRequests.add(`${i}`)
          applyCommands(arrive(db, `${i}`, now, { workspace: event.workspace, patience: event.patience, ...event.keyed ? { home: upstreamId('h') } : {} }))
        }
        if (event.kind === 'pull') applyCommands(pull(db, now, event.upstream, event.workspace), event.decline)
        if (event.kind === 'gone' && decideAdmission(db, { kind: 'caller-gone', request: requestId(`${event.which}`), now }).length > 0) endRequest(`${event.which}`)
        if (event.kind === 'tick') {
          now += event.span
          applyCommands(decideAdmission(db, { kind: 'tick', now }))
        }
      })
      applyCommands(decideAdmission(db, { kind: 'tick', now: now + 10_000 }))
      expect([...openRequests]).toEqual([])
    }), { seed: 20261203, numRuns: 300 })
  })
})

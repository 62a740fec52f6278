/** Handshake without sockets: authentication, reflection and corrupted messages. */
import { randomBytes } from 'node:crypto'
import { describe, it } from 'node:test'
import { asId, newId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { MalformedFrameError } from '../codec/packer.js'
import type { Identity } from '../session/sessionTypes.js'
import { DialerHandshake, HandshakeError, ListenerHandshake } from './handshake.js'
import type { HandshakeContext, HandshakeStep, Offer } from './handshakeTypes.js'

const identity = (host: string): Identity => ({ host: asId(host), incarnation: newId(), role: 'router', zone: asId('zone-a') })
const context = (host: string, linkKey = 'key', binding = ''): HandshakeContext =>
  ({ identity: identity(host), linkKey, binding: Buffer.from(binding), randomBytes })
const dialer = (own: HandshakeContext): DialerHandshake => {
  const offer: Offer = { identity: own.identity, started: 1, dialer: 'd', session: 1, attempt: 1 }
  return new DialerHandshake(own, offer, () => 7)
}
const listener = (own: HandshakeContext): ListenerHandshake => new ListenerHandshake(own, () => ({ outcome: 'new', received: 5 }))

const reply = (step: HandshakeStep<unknown>): Uint8Array => step.reply ?? new Uint8Array(0)

/** Exchanges the five messages; `tamper` may modify each one in transit, by its number from 0. */
const run = (dialerEnd: DialerHandshake, listenerEnd: ListenerHandshake, tamper = (_number: number, data: Uint8Array): Uint8Array => data) => {
  const challenge = reply(listenerEnd.receive(tamper(0, dialerEnd.start())))
  const proof = reply(dialerEnd.receive(tamper(1, challenge)))
  const welcome = reply(listenerEnd.receive(tamper(2, proof)))
  const atDialer = dialerEnd.receive(tamper(3, welcome))
  return { atDialer: atDialer.result, atListener: listenerEnd.receive(tamper(4, reply(atDialer))).result }
}

describe('handshake', () => {
  it('gives each end the identity and the received sequence number of the other', () => {
    const [dialerContext, listenerContext] = [context('one'), context('two')]
    const { atDialer, atListener } = run(dialer(dialerContext), listener(listenerContext))
    expect(atDialer?.answer).toEqual({ identity: listenerContext.identity, outcome: 'new', received: 5 })
    expect([atListener?.offer.identity, atListener?.received]).toEqual([dialerContext.identity, 7])
  })

  it('reveals only a nonce to a peer without the link key', () => {
    const own = context('two')
    const challenge = reply(listener(own).receive(dialer(context('one')).start()))
    expect(Buffer.from(challenge).includes('two')).toEqual(false)
    expect(() => run(dialer(context('one', 'other key')), listener(own))).toThrow(HandshakeError, 'dialer proof is invalid: link keys or TLS connections differ')
  })

  it('fails when the channel bindings of the two ends differ, as with a man in the middle', () => {
    expect(() => run(dialer(context('one', 'key', 'a')), listener(context('two', 'key', 'b')))).toThrow(HandshakeError)
  })

  it('rejects a proof that is reflected to the end that made it', () => {
    const own = context('one')
    const dialerEnd = dialer(own)
    const reflector = listener(own)
    const proof = reply(dialerEnd.receive(reply(reflector.receive(dialerEnd.start()))))
    expect(() => reflector.receive(proof)).toThrow(HandshakeError, 'process connected to itself')
    expect(() => dialerEnd.receive(proof)).toThrow(Error)
  })

  it('fails when any bit of any message is flipped', () => {
    const property = fc.property(fc.integer({ min: 0, max: 4 }), fc.nat(), fc.integer({ min: 0, max: 7 }), (message, place, bit) => {
      const tamper = (number: number, data: Uint8Array): Uint8Array => {
        const copy = Uint8Array.from(data)
        const at = place % copy.length
        if (number === message) copy[at] = (copy[at] ?? 0) ^ (1 << bit)
        return copy
      }
      expect(() => run(dialer(context('one')), listener(context('two')), tamper)).toThrow(Error)
    })
    fc.assert(property, { seed: 1, numRuns: 500 })
  })

  it('throws only HandshakeError and MalformedFrameError on random bytes', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 3 }), messages => {
      const end = listener(context('two'))
      try {
        for (const message of messages) end.receive(message)
      } catch (err) {
        expect(err instanceof MalformedFrameError || err instanceof HandshakeError).toEqual(true)
      }
    }), { seed: 2, numRuns: 500 })
  })
})

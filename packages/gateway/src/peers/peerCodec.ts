/** Bytes of the messages between routers. What cannot be read is refused whole. */
import { asId, FuchsiaError, type Id, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { PeerId, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'
import { Packr } from 'msgpackr'
import type { PeerState } from './peerTypes.js'

/** Version of the messages; others are refused. */
const VERSION = 4

const packer = new Packr({ useRecords: false })

/** A message of another router cannot be read. */
export class PeerMessageError extends FuchsiaError {
  /** @param what - the part that is wrong */
  constructor (what: string) {
    super('peer-message', `a message of another router cannot be read: ${what}`)
  }
}

/** @returns the bytes of a state */
export const encodePeerState = (state: PeerState): Buffer => packer.pack([
  VERSION,
  state.peer,
  state.address,
  state.zone,
  state.isLeaving,
  state.isOut,
  [...state.loads].map(([id, load]) => [id, load.open, load.waitingTokens, load.reservedTokens]),
  [...state.totals].map(([id, totals]) => [id, totals.requested, totals.served]),
  state.avoided.map(({ upstream, remainingMs }) => [upstream, remainingMs]),
  state.addresses,
  state.parts.map(({ part, upstream }) => [part, upstream]),
  state.crashes.map(({ fingerprint: print, crash }) => [print, crash])
])

const list = (value: unknown, what: string): unknown[] => {
  if (!Array.isArray(value)) throw new PeerMessageError(`${what} is not a list`)
  return value
}

const text = <T extends Id<string>>(value: unknown, what: string): T => {
  if (typeof value !== 'string') throw new PeerMessageError(`${what} is not a text`)
  return asId<T>(value)
}

const number = (value: unknown, what: string): number => {
  if (typeof value !== 'number' || !Number.isFinite(value)) throw new PeerMessageError(`${what} is not a number`)
  return value
}

const decodeLoad = (entry: unknown): readonly [UpstreamId, UpstreamLoad] => {
  const [id, open, waitingTokens, heldTokens] = list(entry, 'a load')
  return [text<UpstreamId>(id, 'an upstream'), {
    open: number(open, 'open'),
    waitingTokens: number(waitingTokens, 'waiting tokens'),
    reservedTokens: number(heldTokens, 'held tokens')
  }]
}

const decodeTotals = (entry: unknown): readonly [WorkspaceId, TokenTotals] => {
  const [id, asked, served] = list(entry, 'totals')
  return [text<WorkspaceId>(id, 'a workspace'), { requested: number(asked, 'asked'), served: number(served, 'served') }]
}

/**
 * Reads a state.
 *
 * @param bytes - one message
 * @returns the state
 * @throws PeerMessageError when it is malformed or of another version
 */
export const decodePeerState = (bytes: Uint8Array): PeerState => {
  const [version, peer, address, zone, isLeaving, isOut, loads, totals, avoided, addresses, parts, crashes] = list(packer.unpack(bytes), 'the message')
  if (version !== VERSION) throw new PeerMessageError(`version ${String(version)}`)
  return {
    peer: text<PeerId>(peer, 'the peer'),
    address: text(address, 'the address'),
    zone: text<ZoneId>(zone, 'the zone'),
    isLeaving: isLeaving === true,
    isOut: isOut === true,
    loads: new Map(list(loads, 'loads').map(decodeLoad)),
    totals: new Map(list(totals, 'totals').map(decodeTotals)),
    avoided: list(avoided, 'avoided').map(entry => {
      const [upstream, remainingMs] = list(entry, 'an avoided upstream')
      return { upstream: text<UpstreamId>(upstream, 'an upstream'), remainingMs: number(remainingMs, 'a time') }
    }),
    addresses: list(addresses, 'addresses').map(one => text(one, 'an address')),
    parts: list(parts, 'parts').map(entry => {
      const [part, upstream] = list(entry, 'a part')
      return { part: number(part, 'a part'), upstream: text<UpstreamId>(upstream, 'an upstream') }
    }),
    crashes: list(crashes, 'crashes').map(entry => {
      const [print, crash] = list(entry, 'a crash')
      return { fingerprint: number(print, 'a request'), crash: text(crash, 'a crash') }
    })
  }
}

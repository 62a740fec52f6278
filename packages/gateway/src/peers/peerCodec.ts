/** Encodes and decodes the messages between peer gateways (MessagePack). A malformed message is rejected as a whole. */
import { asId, FuchsiaError, type Id, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import type { CrashReport, PeerId, RequestLimitReport, SlownessReport, StreamVersionReport, TokenTotals, UpstreamLoad } from '@fuchsiaworks/policy'
import { Packr } from 'msgpackr'
import type { PeerState } from './peerTypes.js'

/** Version of the message format; messages of other versions are rejected. */
const MESSAGE_VERSION = 4

const PERCENT = 100

const packer = new Packr({ useRecords: false })

/** A message of a peer gateway is malformed or has an unsupported version. */
export class PeerMessageError extends FuchsiaError {
  /** @param problem - what is invalid in the message */
  constructor (problem: string) {
    super('peer-message', `invalid message from a peer gateway: ${problem}`)
  }
}

/** Encodes a state as one message. */
export const encodePeerState = (state: PeerState): Buffer => packer.pack([
  MESSAGE_VERSION,
  state.peer,
  state.address,
  state.zone,
  state.isLeaving,
  state.isOutOfRotation,
  [...state.loads].map(([id, load]) => [id, load.open, load.waitingTokens, load.reservedTokens]),
  [...state.totals].map(([id, totals]) => [id, totals.requested, totals.served]),
  state.avoided.map(({ upstream, remainingMs }) => [upstream, remainingMs]),
  state.addresses,
  state.parts.map(({ part, upstream }) => [part, upstream]),
  // Read by gateways of earlier builds only.
  state.crashes.flatMap(({ crash, candidates }) => candidates.map(({ fingerprint }) => [fingerprint, crash])),
  state.utilization === undefined ? null : Math.round(state.utilization * PERCENT),
  state.revision,
  state.acceptedPerSecond,
  state.leaving.map(({ upstream, startedAt }) => [upstream, startedAt ?? null]),
  state.crashes.map(({ crash, ageMs, isConfirmed, candidates }) => [crash, Math.round(ageMs), isConfirmed, candidates.map(({ fingerprint, parts }) => [fingerprint, ...parts])]),
  state.sound.map(({ trait, ageMs }) => [trait, Math.round(ageMs)]),
  state.limits.map(({ id, startedAt, limit, ageMs, granter, wanted, received, returned, granted }) =>
    [id, startedAt ?? null, limit ?? null, Math.round(ageMs), granter ?? null, wanted, received, returned, [...granted]]),
  state.streams.map(({ version, streams }) => [version, ...streams]),
  state.processedTokens ?? null,
  state.slowness.map(({ upstream, workPercent, ageMs }) => [upstream.id, upstream.startedAt ?? null, workPercent, Math.round(ageMs)]),
  [...state.queueDemand]
])

const expectArray = (value: unknown, field: string): unknown[] => {
  if (!Array.isArray(value)) throw new PeerMessageError(`${field} is not an array`)
  return value
}

const expectString = <T extends Id<string>>(value: unknown, field: string): T => {
  if (typeof value !== 'string') throw new PeerMessageError(`${field} is not a string`)
  return asId<T>(value)
}

const expectNumber = (value: unknown, field: string): number => {
  if (typeof value !== 'number' || !Number.isFinite(value)) throw new PeerMessageError(`${field} is not a number`)
  return value
}

const decodeLoad = (entry: unknown): readonly [UpstreamId, UpstreamLoad] => {
  const [id, open, waitingTokens, reservedTokens] = expectArray(entry, 'a load')
  return [expectString<UpstreamId>(id, 'an upstream'), {
    open: expectNumber(open, 'open requests'),
    waitingTokens: expectNumber(waitingTokens, 'waiting tokens'),
    reservedTokens: expectNumber(reservedTokens, 'reserved tokens')
  }]
}

const decodeTotals = (entry: unknown): readonly [WorkspaceId, TokenTotals] => {
  const [id, requested, served] = expectArray(entry, 'totals')
  return [expectString<WorkspaceId>(id, 'a workspace'), { requested: expectNumber(requested, 'requested tokens'), served: expectNumber(served, 'served tokens') }]
}

const decodeCrash = (entry: unknown): CrashReport => {
  const [crash, ageMs, isConfirmed, candidates] = expectArray(entry, 'a crash')
  return {
    crash: expectString(crash, 'a crash'),
    ageMs: expectNumber(ageMs, 'an age'),
    isConfirmed: isConfirmed === true,
    candidates: expectArray(candidates, 'candidates').map(candidate => {
      const [fingerprint, ...parts] = expectArray(candidate, 'a candidate')
      return { fingerprint: expectNumber(fingerprint, 'a request fingerprint'), parts: parts.map(part => expectNumber(part, 'a part')) }
    })
  }
}

const decodeLimit = (entry: unknown): RequestLimitReport => {
  const [id, startedAt, limit, ageMs, granter, wanted, received, returned, granted] = expectArray(entry, 'a limit')
  return {
    id: expectString<UpstreamId>(id, 'an upstream'),
    startedAt: startedAt === null ? undefined : expectNumber(startedAt, 'a start'),
    limit: limit === null ? undefined : expectNumber(limit, 'a limit'),
    ageMs: expectNumber(ageMs, 'an age'),
    granter: granter === null ? undefined : expectString<PeerId>(granter, 'a peer'),
    wanted: expectNumber(wanted, 'permits'),
    received: expectNumber(received, 'permits'),
    returned: expectNumber(returned, 'permits'),
    granted: new Map(expectArray(granted, 'granted permits').map(grant => {
      const [peer, permits] = expectArray(grant, 'a grant')
      return [expectString<PeerId>(peer, 'a peer'), expectNumber(permits, 'permits')] as const
    }))
  }
}

const decodeStreams = (entry: unknown): StreamVersionReport => {
  const [version, ...streams] = expectArray(entry, 'streams of a version')
  return { version: expectNumber(version, 'a version'), streams: streams.map(stream => expectNumber(stream, 'a stream')) }
}

const decodeSlowness = (entry: unknown): SlownessReport => {
  const [id, startedAt, workPercent, ageMs] = expectArray(entry, 'the slowness of an upstream')
  return {
    upstream: { id: expectString<UpstreamId>(id, 'an upstream'), startedAt: startedAt === null ? undefined : expectNumber(startedAt, 'a start') },
    workPercent: expectNumber(workPercent, 'a slowness'),
    ageMs: expectNumber(ageMs, 'an age')
  }
}

/** Decodes the crashes of a gateway of an earlier build. */
const decodeEarlierCrash = (entry: unknown): CrashReport => {
  const [fingerprint, crash] = expectArray(entry, 'a crash')
  return { crash: expectString(crash, 'a crash'), ageMs: 0, isConfirmed: true, candidates: [{ fingerprint: expectNumber(fingerprint, 'a request fingerprint'), parts: [] }] }
}

/**
 * Decodes one message.
 *
 * @throws PeerMessageError when it is malformed or of another version
 */
export const decodePeerState = (bytes: Uint8Array): PeerState => {
  const [version, peer, address, zone, isLeaving, isOutOfRotation, loads, totals, avoided, addresses, parts, earlierCrashes, utilizationPercent, revision, acceptedPerSecond, leaving, crashes, sound, limits, streams, processedTokens, slowness, queueDemand] = expectArray(packer.unpack(bytes), 'the message')
  if (version !== MESSAGE_VERSION) throw new PeerMessageError(`unsupported version ${String(version)}`)
  return {
    peer: expectString<PeerId>(peer, 'the peer'),
    address: expectString(address, 'the address'),
    zone: expectString<ZoneId>(zone, 'the zone'),
    isLeaving: isLeaving === true,
    isOutOfRotation: isOutOfRotation === true,
    loads: new Map(expectArray(loads, 'loads').map(decodeLoad)),
    totals: new Map(expectArray(totals, 'totals').map(decodeTotals)),
    avoided: expectArray(avoided, 'avoided upstreams').map(entry => {
      const [upstream, remainingMs] = expectArray(entry, 'an avoided upstream')
      return { upstream: expectString<UpstreamId>(upstream, 'an upstream'), remainingMs: expectNumber(remainingMs, 'a time') }
    }),
    addresses: expectArray(addresses, 'addresses').map(entry => expectString(entry, 'an address')),
    parts: expectArray(parts, 'parts').map(entry => {
      const [part, upstream] = expectArray(entry, 'a part')
      return { part: expectNumber(part, 'a part'), upstream: expectString<UpstreamId>(upstream, 'an upstream') }
    }),
    crashes: crashes === undefined ? expectArray(earlierCrashes, 'crashes').map(decodeEarlierCrash) : expectArray(crashes, 'crashes').map(decodeCrash),
    limits: expectArray(limits ?? [], 'limits').map(decodeLimit),
    streams: expectArray(streams ?? [], 'streams').map(decodeStreams),
    slowness: expectArray(slowness ?? [], 'slowness of upstreams').map(decodeSlowness),
    queueDemand: new Map(expectArray(queueDemand ?? [], 'demands').map(entry => {
      const [service, units] = expectArray(entry, 'a demand')
      return [expectString<ServiceId>(service, 'a service'), expectNumber(units, 'units')] as const
    })),
    sound: expectArray(sound ?? [], 'sound responses').map(entry => {
      const [trait, ageMs] = expectArray(entry, 'a sound response')
      return { trait: expectNumber(trait, 'a trait'), ageMs: expectNumber(ageMs, 'an age') }
    }),
    // Gateways of earlier builds send none of these.
    utilization: typeof utilizationPercent === 'number' ? utilizationPercent / PERCENT : undefined,
    revision: typeof revision === 'number' ? revision : -1,
    processedTokens: typeof processedTokens === 'number' && Number.isFinite(processedTokens) ? processedTokens : undefined,
    acceptedPerSecond: typeof acceptedPerSecond === 'number' ? acceptedPerSecond : 0,
    leaving: expectArray(leaving ?? [], 'leaving upstreams').map(entry => {
      const [upstream, startedAt] = expectArray(entry, 'a leaving upstream')
      return { upstream: expectString<UpstreamId>(upstream, 'an upstream'), startedAt: typeof startedAt === 'number' ? startedAt : undefined }
    })
  }
}

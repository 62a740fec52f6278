/** Messages between gateways and stream recorders. */
import type { Millis } from '@fuchsiaworks/kernel'
import type { StreamHash, StreamVersionReport, VersionHash } from '@fuchsiaworks/policy'

/** Path at which a recorder that is active connects to a gateway. */
export const RECORDS_PATH = '/stream-records'

/** Path at which any recorder reads one `fleet` message. */
export const RECORDER_FLEET_PATH = '/stream-records/fleet'

/** Close code of a gateway that has enough recorders (RFC 6455: try again later). */
export const ENOUGH_RECORDERS_CODE = 1013

/** Number of a lookup, unique at its gateway. */
export type LookupNumber = number

/** What a gateway tells recorders of the fleet. */
export interface FleetMessage {
  readonly kind: 'fleet'
  /** Engine upstreams that the gateway lists; undefined while it has no configuration. */
  readonly upstreams: number | undefined
  /** Longest time that a stream may take; undefined while the gateway has no configuration. */
  readonly longestStreamMs: Millis | undefined
  /** Peer ports of the gateway and its peers. */
  readonly addresses: readonly string[]
}

/** Message of a gateway to a recorder. */
export type GatewayMessage =
  | FleetMessage
  | { readonly kind: 'records', readonly reports: readonly StreamVersionReport[] }
  | { readonly kind: 'ask', readonly lookup: LookupNumber, readonly stream: StreamHash }

/** Answer of a recorder to a gateway. */
export interface RecorderAnswer {
  readonly lookup: LookupNumber
  /** Undefined when the stream is not known there. */
  readonly version: VersionHash | undefined
  /** Host of the recorder, for the log. */
  readonly host: string
}

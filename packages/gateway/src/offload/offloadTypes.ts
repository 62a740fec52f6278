/** Frames between two gateways of which one passes on the bytes of connections that the other serves. */

import type { Millis } from '@fuchsiaworks/kernel'

/** Identifies a connection on one link; chosen by the gateway that accepted it. */
export type ConnectionNumber = number

/** A frame. Frames about a connection that the receiver has closed are ignored: they crossed its `close`. */
export type OffloadFrame =
  /** A caller has connected; sent by the gateway that accepted the connection. */
  | { readonly kind: 'open', readonly connection: ConnectionNumber }
  /** `unreadMs`: time for which bytes of a caller are known to have waited before they were read; 0 for bytes of a response, and from older gateways. `readAt`: time of the sender's monotonic clock at which it read bytes of a caller. */
  | { readonly kind: 'data', readonly connection: ConnectionNumber, readonly bytes: Buffer, readonly unreadMs: Millis, readonly readAt?: Millis | undefined }
  /** The sender sends no more data. */
  | { readonly kind: 'end', readonly connection: ConnectionNumber }
  /** The connection is closed in both directions. `isIdle`: the sender was not serving a request on it, so that bytes it did not read have not run. */
  | { readonly kind: 'close', readonly connection: ConnectionNumber, readonly isIdle: boolean }
  /** The sender has passed on this many bytes, so that the receiver of the frame may send as many more. */
  | { readonly kind: 'credit', readonly connection: ConnectionNumber, readonly bytes: number }
  /** Whether further responses leave their connections open; sent by the gateway that accepted them. */
  | { readonly kind: 'keep-alive', readonly isAllowed: boolean }
  /** Connections without a request are closed now; sent during a shutdown, after keep-alive was disabled. */
  | { readonly kind: 'close-idle' }

/** Frame with bytes of a connection. */
export type DataFrame = OffloadFrame & { readonly kind: 'data' }

/** Bytes of a connection that may be on their way in one direction. */
export const CREDIT_BYTES = 256 * 1024

/** Path at which gateways accept offload links on their peer port. */
export const OFFLOAD_PATH = '/offload'

/** Header of the request for a link: host of the gateway that opens it. */
export const OFFLOADING_HOST_HEADER = 'offloading-host'

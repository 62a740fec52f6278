/** Counts the bytes between the zone of a gateway and other zones. */
import type { ZoneId } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { GatewayMetrics } from './gatewayMetrics.js'

/** What bytes between zones are sent for. */
export type ZoneBytesCause = 'request' | 'response' | 'resume' | 'retry' | 'health-check' | 'part-copy' | 'offload' | 'state-update'

/** Header of a WebSocket message of 126 bytes to 64 KiB, with the mask of the client. */
export const WEB_SOCKET_FRAME_BYTES = 8

/** Separators and line end of one header. */
const HEADER_OVERHEAD_BYTES = 4

/** @returns the approximate size of the head of a request or response, without its first line */
export const headBytes = (headers: HeaderList): number => headers.reduce((sum, [name, value]) => sum + name.length + value.length + HEADER_OVERHEAD_BYTES, 0)

/** Counts bytes by cause. */
export class ZoneBytes {
  /**
   * @param zone - zone of the gateway
   * @param metrics - metrics of the gateway
   */
  constructor (readonly zone: ZoneId, readonly metrics: GatewayMetrics) {}

  /**
   * Counts bytes that were sent to or received from a zone, unless it is the own one.
   *
   * @param cause - what they were sent for
   * @param zone - the other side; undefined when it is not known
   * @param bytes - number of bytes
   */
  count (cause: ZoneBytesCause, zone: ZoneId | undefined, bytes: number): void {
    if (zone !== undefined && zone !== this.zone && bytes > 0) this.metrics.zoneBytes.inc({ cause }, bytes)
  }
}

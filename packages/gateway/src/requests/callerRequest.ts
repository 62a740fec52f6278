/** A caller's request with its complete body, ready to be sent. */
import type { ServerResponse } from 'node:http'
import type { Millis, ServiceId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { HeaderList } from '@fuchsiaworks/wire'
import type { CallerHead } from '../port/headerPort.js'
import type { GatewayRoute } from '../routing/routingTypes.js'

/**
 * Returns the time by which the response must be complete.
 *
 * @param route - the route of the request
 * @param head - its headers
 * @param arrivedAt - time of its arrival
 */
export const deadlineOf = ({ timeoutMs }: GatewayRoute, { deadlineMs }: CallerHead, arrivedAt: Millis): Millis => arrivedAt + Math.min(deadlineMs ?? timeoutMs, timeoutMs)

/** One request of a caller. */
export interface CallerRequest {
  readonly head: CallerHead
  readonly headers: HeaderList
  readonly method: string
  readonly target: string
  readonly body: Buffer
  readonly route: GatewayRoute
  /** Service to which the request is routed; a stream that its caller takes up is routed to the one where it has begun, once that is known. */
  service: ServiceId
  /** Undefined on public routes. */
  readonly workspace: WorkspaceId | undefined
  /** Revision of the configuration that routed the request. */
  readonly revision: number
  /** Monotonic time in milliseconds at which the request arrived: when its headers were read, less the time for which they are known to have waited. */
  readonly arrivedAt: Millis
  /** Time for which the headers are known to have waited before they were read. */
  readonly unreadMs: Millis
  /** Host of the gateway that accepted the connection; undefined for this one. */
  readonly acceptedBy: string | undefined
  readonly res: ServerResponse
}

/** Schema of the local settings of a gateway. */
import { type HostId, LOG_LEVELS, type ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { idSchema, text } from '../document/scalars.js'

/** Listen address of a server, written as `ip:port` in the settings. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Highest TCP port number. */
const MAX_PORT = 65_535

const listenAddress = text.transform((value, ctx): ListenAddress => {
  const portSeparator = value.lastIndexOf(':')
  const port = Number(value.slice(portSeparator + 1))
  if (portSeparator < 1 || !Number.isInteger(port) || port < 0 || port > MAX_PORT) {
    ctx.addIssue({ code: 'custom', message: 'expected ip:port' })
    return z.NEVER
  }
  return { host: value.slice(0, portSeparator), port }
})

const queue = z.strictObject({
  maxShareOfDeadline: z.number().min(0).max(0.9).describe('Largest part of the time until its deadline that a request may wait for capacity.'),
  maxRequests: z.int().positive().default(400).describe('Requests that may wait at the gateway; also the number of places kept for callers that were told to come back.'),
  maxBytes: z.int().positive().default(16_777_216).describe('Bytes of the bodies of all requests that wait at the gateway.')
})

/** Local settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
  role: z.literal('gateway').describe('`gateway` on a host that accepts requests from callers.'),
  host: idSchema<HostId>().describe('Name of the host; must not change when the process restarts.'),
  zone: idSchema<ZoneId>().describe('Availability zone of the host.'),
  callers: listenAddress.describe('Listen address for callers.'),
  ready: listenAddress.describe('Listen address for the readiness checks of the load balancer.'),
  peers: listenAddress.describe('Listen address for peer gateways.'),
  peersAdvertised: text.exactOptional().describe('Address that is advertised to peer gateways, if it differs from the listen address.'),
  seeds: z.array(text).default([]).describe('Addresses of some peer gateways to connect to first.'),
  source: text.describe('Address of the service that publishes the configuration and the upstreams.'),
  graceSeconds: z.number().min(0).default(8).describe('Seconds from the termination signal until the process is killed.'),
  revokeMs: z.number().min(0).exactOptional().describe('Milliseconds after which a revoked key must no longer be accepted; without it there is no limit.'),
  retryRatio: z.number().min(0).default(0.2).describe('Retries allowed per first attempt, over all gateways.'),
  shareWindowSeconds: z.number().positive().default(4).describe('Window in seconds over which the token shares of workspaces are computed.'),
  queue: queue.exactOptional().describe('Queue of requests that find no free capacity; without it a request waits for at most 0.15 of its latency target.'),
  streamRecorders: z.boolean().exactOptional().describe('Whether stream recorders run beside upstreams; a gateway that has just started then waits up to 300 ms for one before it refuses a stream that it does not know.'),
  zoneTraffic: z.strictObject({
    msPerMegabyte: z.number().min(0).default(0).describe('Milliseconds of a caller\'s waiting that a megabyte between zones is worth. With 0, requests are placed without regard to it.'),
    copyBytesPerToken: z.number().min(0).default(0).describe('Bytes between zones for each cached prompt token that an engine copies from one of another zone; 0 when such copies cost nothing.')
  }).exactOptional().describe('Price of traffic between zones; without it, requests are placed without regard to it.'),
  maxDescriptors: z.int().positive().default(4096).describe('File descriptors that the process may have open; when callers hold half of them, responses close their connections.'),
  logLevel: z.enum(LOG_LEVELS).default('info').describe('Minimum level of log lines.')
})

/** Local settings of a gateway. */
export interface GatewaySettings extends z.output<typeof gatewaySettingsSchema> {}

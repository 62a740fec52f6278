/** Schema of the local settings of a gateway. */
import { type HostId, LOG_LEVELS, type ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { idSchema, text } from '../document/scalars.js'

/** Where a port listens. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Largest port number. */
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

/** Local settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
  role: z.literal('gateway').describe('`gateway` on an entry host.'),
  host: idSchema<HostId>().describe('Name of the host, stable over restarts.'),
  zone: idSchema<ZoneId>().describe('Availability zone of the host.'),
  callers: listenAddress.describe('Address for callers.'),
  ready: listenAddress.describe('Address at which the balancer asks whether the router takes callers.'),
  peers: listenAddress.describe('Address for other routers.'),
  peersAdvertised: text.exactOptional().describe('Address that other routers are told, where they reach this one by another than the one it listens on.'),
  seeds: z.array(text).default([]).describe('Addresses of some routers, to begin with.'),
  source: text.describe('Address of the service that publishes configuration and upstreams.'),
  graceSeconds: z.number().min(0).default(8).describe('Seconds from the word to end until the process is killed.'),
  revokeMs: z.number().min(0).exactOptional().describe('Milliseconds after which a key that was taken away must not work; without it there is no bound.'),
  retryRatio: z.number().min(0).default(0.2).describe('Retries allowed for each first attempt, over all routers.'),
  shareWindowSeconds: z.number().positive().default(4).describe('Span over which token shares are kept.'),
  logLevel: z.enum(LOG_LEVELS).default('info').describe('Lowest level of the log lines that are written.')
})

/** Local settings of a gateway. */
export interface GatewaySettings extends z.output<typeof gatewaySettingsSchema> {}

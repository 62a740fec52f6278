/** Schemas of the local settings of routers and agents. */
import { type HostId, LOG_LEVELS, type SiteId, type UpstreamId, type ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { httpUrl, idSchema, port, text } from '../document/scalars.js'

/** Minimum length of a secret in characters. */
const MIN_SECRET_LENGTH = 16

const secret = z.string({ error: 'expected a secret' })
  .min(MIN_SECRET_LENGTH, { error: `expected a secret of at least ${MIN_SECRET_LENGTH} characters` })

const address = z.strictObject({
  host: text.describe('IP address or host name.'),
  port: port.describe('TCP port; 0 lets the operating system choose one.')
})

const listenAddress = z.strictObject({
  host: text.default('127.0.0.1').describe('IP address to listen on.'),
  port: port.default(0).describe('TCP port; 0 lets the operating system choose one.')
})

const admin = listenAddress.extend({
  key: secret.describe('Key of the administration API.')
})

const platform = z.strictObject({
  configuration: httpUrl.describe('URL of the configuration service.'),
  hosts: httpUrl.describe('URL of the host list.')
})

const tls = z.strictObject({
  cert: text.describe('Path of the certificate file, PEM.'),
  key: text.describe('Path of the private key file, PEM.'),
  ca: text.describe('Path of the file with the CA certificate that signed the certificates of the fleet, PEM.')
})

const commonFields = {
  host: idSchema<HostId>().describe('Name of the host; must not change when the process restarts.'),
  zone: idSchema<ZoneId>().describe('Availability zone of the host.'),
  site: idSchema<SiteId>().describe('Site of the host; selects the overlay of the shared configuration.'),
  admin: admin.describe('Listen address and key of the administration API.'),
  platform: platform.describe('URLs of the platform services.'),
  routers: z.array(address).default([]).describe('Link addresses of some routers to connect to first.'),
  linkKey: secret.describe('Shared secret of the links between processes.'),
  tls: tls.exactOptional().describe('TLS certificate of the links; without it links are not encrypted.'),
  metrics: address.exactOptional().describe('Address of the StatsD server; without it no metrics are sent.'),
  logLevel: z.enum(LOG_LEVELS).default('info').describe('Minimum level of log lines.')
}

/** Local settings of a router. */
export const routerSettingsSchema = z.strictObject({
  role: z.literal('router').describe('`router` on a host that accepts requests from callers.'),
  ...commonFields,
  callers: listenAddress.describe('Listen address for callers.'),
  links: listenAddress.describe('Listen address for links of agents and other routers.')
})

/** Local settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  role: z.literal('agent').describe('`agent` on the host of an upstream.'),
  ...commonFields,
  upstream: idSchema<UpstreamId>().describe('Id of the upstream in the shared configuration.'),
  upstreamUrl: httpUrl.describe('URL of the upstream.'),
  loadUrl: httpUrl.exactOptional().describe('URL of the load report of the upstream.')
})

/** Local settings of any process. */
export const settingsSchema = z.discriminatedUnion('role', [routerSettingsSchema, agentSettingsSchema], {
  error: 'expected "router" or "agent"'
})

/** Local settings of a router. */
export interface RouterSettings extends z.output<typeof routerSettingsSchema> {}

/** Local settings of an agent. */
export interface AgentSettings extends z.output<typeof agentSettingsSchema> {}

/** Local settings of any process. */
export type ProcessSettings = RouterSettings | AgentSettings

/** Schema of the local settings of one process. */
import { type HostId, LOG_LEVELS, type SiteId, type UpstreamId, type ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { httpUrl, idSchema, port, text } from '../document/scalars.js'

/** Characters of the shortest secret that is taken. */
const MIN_SECRET_LENGTH = 16

const secret = z.string({ error: 'expected a secret' })
  .min(MIN_SECRET_LENGTH, { error: `expected a secret of at least ${MIN_SECRET_LENGTH} characters` })

const address = z.strictObject({
  host: text.describe('IP number or name.'),
  port: port.describe('Port; 0 lets the system choose.')
})

const listenAddress = z.strictObject({
  host: text.default('127.0.0.1').describe('IP number to listen on.'),
  port: port.default(0).describe('Port; 0 lets the system choose.')
})

const admin = listenAddress.extend({
  key: secret.describe('Key of the administration API.')
})

const platform = z.strictObject({
  configuration: httpUrl.describe('Address of the configuration service.'),
  hosts: httpUrl.describe('Address of the host list.')
})

const tls = z.strictObject({
  cert: text.describe('File of the certificate, PEM.'),
  key: text.describe('File of its private key, PEM.'),
  ca: text.describe('File of the authority that signed the certificates of the fleet, PEM.')
})

const commonFields = {
  host: idSchema<HostId>().describe('Name of the host, stable over restarts.'),
  zone: idSchema<ZoneId>().describe('Availability zone of the host.'),
  site: idSchema<SiteId>().describe('Site of the host; it chooses the overlay.'),
  admin: admin.describe('Administration API.'),
  platform: platform.describe('Services of the platform.'),
  routers: z.array(address).default([]).describe('Link addresses of some routers, to begin with.'),
  linkKey: secret.describe('Shared secret of the links between processes.'),
  tls: tls.exactOptional().describe('Certificate for the links; without one they are not encrypted.'),
  metrics: address.exactOptional().describe('StatsD server; without one no metrics are written.'),
  logLevel: z.enum(LOG_LEVELS).default('info').describe('Lowest level of the log lines that are written.')
}

/** Local settings of a router. */
export const routerSettingsSchema = z.strictObject({
  role: z.literal('router').describe('`router` on an entry host.'),
  ...commonFields,
  callers: listenAddress.describe('Address for callers.'),
  links: listenAddress.describe('Address for links of agents and other routers.')
})

/** Local settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  role: z.literal('agent').describe('`agent` beside an upstream.'),
  ...commonFields,
  upstream: idSchema<UpstreamId>().describe('Id of the upstream in the shared configuration.'),
  upstreamUrl: httpUrl.describe('Address of the upstream.'),
  loadUrl: httpUrl.exactOptional().describe('Address at which the upstream reports its load.')
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

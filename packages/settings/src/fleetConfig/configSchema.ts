/** Schema of the shared configuration. Its types, defaults and reference page are derived from it. */
import type { HostId, ServiceId, SiteId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { decimalNumber, idSchema, milliseconds, sha256Hex, text, timeOfDay, wholeNumber } from '../document/scalars.js'
import { limitsSchema, processSchemas } from './limitsSchema.js'

const DAY_MS = 86_400_000
const HOUR_MS = 3_600_000

const zoneId = idSchema<ZoneId>()
const serviceId = idSchema<ServiceId>()
const upstreamId = idSchema<UpstreamId>()
const workspaceId = idSchema<WorkspaceId>()
const siteId = idSchema<SiteId>()
const hostId = idSchema<HostId>()

const method = z.string().regex(/^[A-Z]+$/, { error: 'expected an HTTP method in capitals' })
const pathPrefix = z.string().startsWith('/', { error: 'expected a path prefix that begins with "/"' })

const zoneSchema = z.strictObject({
  region: text.describe('Region of the zone.'),
  state: z.enum(['in', 'out']).default('in').describe('`out`: the zone receives no new requests.')
})

const costSchema = z.strictObject({
  promptToken: decimalNumber('cost units', 0, 1e6).default(1).describe('Cost of one prompt token.'),
  outputToken: decimalNumber('cost units', 0, 1e6).default(4).describe('Cost of one generated token.'),
  busyMilli: decimalNumber('cost units', 0, 1e6).default(1).describe('Cost of one millisecond that a plain service spends on the request.')
})

const targetsSchema = z.strictObject({
  firstByteMs: milliseconds(10, HOUR_MS).default(1700).describe('Target of the 95th percentile of the time to the first byte or token.'),
  betweenTokensMs: milliseconds(1, 60_000).default(59).describe('Target of the 95th percentile of the time between two tokens.')
})

/** A service as written in the file, before the defaults that depend on its kind are applied. */
const rawServiceSchema = z.strictObject({
  kind: z.enum(['engine', 'plain']).describe('`engine`: OpenAI-compatible JSON with server-sent events. `plain`: any other HTTP service.'),
  idempotentMethods: z.array(method).default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
    .describe('Methods whose requests may be executed more than once.'),
  notIdempotentPaths: z.array(pathPrefix).default([])
    .describe('Path prefixes below `/{service}` that are never idempotent, regardless of the method.'),
  idempotentPaths: z.array(pathPrefix).optional()
    .meta({
      description: 'Path prefixes below `/{service}` under which POST is idempotent too.',
      fallback: '`["/v1/"]` for an engine, `[]` for a plain service'
    }),
  cost: costSchema.prefault({}).describe('Cost that is charged to a workspace.'),
  targets: targetsSchema.prefault({}).describe('Latency targets of the adaptive concurrency limit of each upstream.'),
  maxConcurrency: wholeNumber('requests', 1, 65_536).default(64).describe('Maximum number of requests in progress at one upstream.'),
  coldConcurrency: wholeNumber('requests', 1, 65_536).default(2).describe('Concurrency limit of an upstream during a cold start, until completed requests raise it.')
})

const serviceSchema = rawServiceSchema.transform(service => ({
  ...service,
  idempotentPaths: service.idempotentPaths ?? (service.kind === 'engine' ? ['/v1/'] : [])
}))

const upstreamSchema = z.strictObject({
  service: serviceId.describe('Service that the upstream provides.'),
  zone: zoneId.describe('Zone of the upstream.'),
  host: hostId.describe('Host on which the upstream runs.'),
  state: z.enum(['in', 'leaving']).default('in').describe('`leaving`: the upstream receives no new requests.')
})

const patienceSchema = z.strictObject({
  defaultMs: milliseconds(1, DAY_MS).default(30_000).describe('Maximum wait for a slot if `daily` is empty.'),
  daily: z.array(z.strictObject({
    from: timeOfDay.describe('Local time of the site at which the entry takes effect.'),
    ms: milliseconds(1, DAY_MS).describe('Maximum wait for a slot.')
  })).default([]).describe('Maximum wait by time of day. Each entry applies until the next one; the last applies until the first one of the next day.'),
  byService: z.record(serviceId, milliseconds(1, DAY_MS)).exactOptional()
    .describe('Maximum wait by service, at any time of day; takes precedence over `daily` and `defaultMs`.')
})

const workspaceSchema = z.strictObject({
  weight: decimalNumber('shares', 0.001, 1e6).default(1).describe('Share of the capacity relative to other workspaces.'),
  keys: z.array(sha256Hex).default([]).describe('SHA-256 digests of the keys that callers send as bearer tokens.'),
  services: z.union([z.literal('*'), z.array(serviceId)], { error: 'expected "*" or a list of services' }).default('*')
    .describe('Services that the workspace may use; `"*"` for all.'),
  patience: patienceSchema.prefault({}).describe('Maximum time that requests may wait for a slot.'),
  maxWaiting: wholeNumber('requests', 1, 1e6).default(1000).describe('Maximum number of waiting requests at one router.')
})

const siteSchema = z.strictObject({
  zones: z.array(zoneId).describe('Zones of the site.'),
  utcOffsetMinutes: wholeNumber('minutes', -720, 840).default(0).describe('Local time minus UTC.')
})

/** Schemas of the sections that map ids to entries. */
export const sectionSchemas = {
  zones: { id: zoneId, entry: zoneSchema },
  services: { id: serviceId, entry: serviceSchema },
  upstreams: { id: upstreamId, entry: upstreamSchema },
  workspaces: { id: workspaceId, entry: workspaceSchema },
  sites: { id: siteId, entry: siteSchema }
} as const

/** Name of a section that maps ids to entries. */
export type SectionName = keyof typeof sectionSchemas

/** Schema of the shared configuration after the overlay is merged. */
export const configSchema = z.strictObject({
  revisionNote: z.string({ error: 'expected text' }).exactOptional().describe('Free text for operators.'),
  zones: z.record(zoneId, zoneSchema).default({}).describe('Availability zones by id.'),
  services: z.record(serviceId, serviceSchema).default({}).describe('Services by id; the id is the first segment of the request path.'),
  upstreams: z.record(upstreamId, upstreamSchema).default({}).describe('Upstreams by id.'),
  workspaces: z.record(workspaceId, workspaceSchema).default({}).describe('Workspaces by id.'),
  sites: z.record(siteId, siteSchema).default({}).describe('Sites by id.'),
  limits: limitsSchema.prefault({}).describe('Limits on callers, applied by each router separately.'),
  ...processSchemas
})

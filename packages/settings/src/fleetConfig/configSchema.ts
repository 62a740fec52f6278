/** Schema of the shared configuration: the source of its types, defaults and reference page. */
import type { HostId, ServiceId, SiteId, UpstreamId, WorkspaceId, ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import { decimalNumber, idSchema, milliseconds, sha256Hex, text, timeOfDay, wholeNumber } from '../document/scalars.js'
import { limitsSchema, processSchemas } from './limitsSchema.js'

/** Milliseconds in a day. */
const DAY_MS = 86_400_000

/** Longest patience or target in milliseconds. */
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
  state: z.enum(['in', 'out']).default('in').describe('`out`: the zone gets no new work.')
})

const costSchema = z.strictObject({
  promptToken: decimalNumber('cost units', 0, 1e6).default(1).describe('Cost of one prompt token.'),
  outputToken: decimalNumber('cost units', 0, 1e6).default(4).describe('Cost of one generated token.'),
  busyMilli: decimalNumber('cost units', 0, 1e6).default(1).describe('Cost of one millisecond in which a plain service was busy with the request.')
})

const targetsSchema = z.strictObject({
  firstByteMs: milliseconds(10, HOUR_MS).default(1700).describe('Time to the first byte or token that 95 in 100 requests should meet.'),
  betweenTokensMs: milliseconds(1, 60_000).default(59).describe('Time between two tokens that 95 in 100 should meet.')
})

/** A service as it is written in the file. */
const rawServiceSchema = z.strictObject({
  kind: z.enum(['engine', 'plain']).describe('`engine`: OpenAI-compatible JSON with server-sent events. `plain`: any other HTTP service.'),
  idempotentMethods: z.array(method).default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
    .describe('Methods whose requests may run more than once.'),
  notIdempotentPaths: z.array(pathPrefix).default([])
    .describe('Path prefixes below `/{service}` that are never idempotent, whatever the method.'),
  idempotentPaths: z.array(pathPrefix).optional()
    .meta({
      description: 'Path prefixes below `/{service}` where POST is idempotent too.',
      fallback: '`["/v1/"]` for an engine, `[]` for a plain service'
    }),
  cost: costSchema.prefault({}).describe('What is charged to a workspace.'),
  targets: targetsSchema.prefault({}).describe('Latency that the concurrency limit of each upstream is held to.'),
  maxConcurrency: wholeNumber('requests', 1, 65_536).default(64).describe('Hard limit of requests in progress at one upstream.'),
  coldConcurrency: wholeNumber('requests', 1, 65_536).default(2).describe('Requests in progress at an upstream that has proved nothing since its start.')
})

const serviceSchema = rawServiceSchema.transform(service => ({
  ...service,
  idempotentPaths: service.idempotentPaths ?? (service.kind === 'engine' ? ['/v1/'] : [])
}))

const upstreamSchema = z.strictObject({
  service: serviceId.describe('Service that the upstream offers.'),
  zone: zoneId.describe('Zone in which it stands.'),
  host: hostId.describe('Host on which it runs.'),
  state: z.enum(['in', 'leaving']).default('in').describe('`leaving`: the upstream gets no new work.')
})

const patienceSchema = z.strictObject({
  defaultMs: milliseconds(1, DAY_MS).default(30_000).describe('Longest wait for a slot where `daily` is empty.'),
  daily: z.array(z.strictObject({
    from: timeOfDay.describe('Local time of the site from which the entry holds.'),
    ms: milliseconds(1, DAY_MS).describe('Longest wait for a slot.')
  })).default([]).describe('Longest wait by time of day. Each entry holds until the next; the last of the day holds until the first.'),
  byService: z.record(serviceId, milliseconds(1, DAY_MS)).exactOptional()
    .describe('Longest wait by service, at any time of day; it goes before `daily` and `defaultMs`.')
})

const workspaceSchema = z.strictObject({
  weight: decimalNumber('shares', 0.001, 1e6).default(1).describe('Share of the service relative to other workspaces.'),
  keys: z.array(sha256Hex).default([]).describe('SHA-256 digests of the bearer keys of the callers.'),
  services: z.union([z.literal('*'), z.array(serviceId)], { error: 'expected "*" or a list of services' }).default('*')
    .describe('Services that the workspace may call; `"*"` for all.'),
  patience: patienceSchema.prefault({}).describe('How long requests may wait.'),
  maxWaiting: wholeNumber('requests', 1, 1e6).default(1000).describe('Waiting requests at one router.')
})

const siteSchema = z.strictObject({
  zones: z.array(zoneId).describe('Zones of the site.'),
  utcOffsetMinutes: wholeNumber('minutes', -720, 840).default(0).describe('Local time minus UTC.')
})

/** Schemas of the ids and entries of the sections that are maps from ids. */
export const sectionSchemas = {
  zones: { id: zoneId, entry: zoneSchema },
  services: { id: serviceId, entry: serviceSchema },
  upstreams: { id: upstreamId, entry: upstreamSchema },
  workspaces: { id: workspaceId, entry: workspaceSchema },
  sites: { id: siteId, entry: siteSchema }
} as const

/** Name of a section that is a map from ids. */
export type SectionName = keyof typeof sectionSchemas

/** Schema of the shared configuration after an overlay was merged. */
export const configSchema = z.strictObject({
  revisionNote: z.string({ error: 'expected text' }).exactOptional().describe('Free text for operators.'),
  zones: z.record(zoneId, zoneSchema).default({}).describe('Availability zones by id.'),
  services: z.record(serviceId, serviceSchema).default({}).describe('Services by id; the id is the first segment of the path.'),
  upstreams: z.record(upstreamId, upstreamSchema).default({}).describe('Upstreams by id.'),
  workspaces: z.record(workspaceId, workspaceSchema).default({}).describe('Workspaces by id.'),
  sites: z.record(siteId, siteSchema).default({}).describe('Sites by id.'),
  limits: limitsSchema.prefault({}).describe('Limits towards callers, for each router.'),
  ...processSchemas
})

/** Schemas of the responses of the administration API. */
import {
  type Fingerprint, type HostId, type Id, type Incarnation, LOG_LEVELS, type RequestId, type ServiceId, type SiteId,
  type TimeLineEvent, type UpstreamId, type WorkspaceId, type ZoneId
} from '@fuchsiaworks/kernel'
import * as z from 'zod'

const idSchema = <T extends Id<string>>(): z.ZodType<T, string> => z.string() as unknown as z.ZodType<T, string>

const countSchema = z.int().min(0)
const wallTimeSchema = z.number().describe('Wall-clock milliseconds since the Unix epoch.')

const roleSchema = z.enum(['router', 'agent'])

/** Log level. */
export const logLevelSchema = z.object({ level: z.enum(LOG_LEVELS).describe('Lowest level of log messages that are written.') })

/** Liveness of the process. */
export const healthSchema = z.object({ healthy: z.boolean() })

/** Readiness of the process for requests of a load balancer. */
export const readySchema = z.object({
  ready: z.boolean(),
  reasons: z.array(z.string()).describe('Why the process is not ready.')
})

/** Identity and state of the process. */
export const statusSchema = z.object({
  role: roleSchema,
  host: idSchema<HostId>(),
  zone: idSchema<ZoneId>(),
  site: idSchema<SiteId>(),
  incarnation: idSchema<Incarnation>().describe('Incarnation of the process; each restart gets a new one.'),
  wallMs: wallTimeSchema,
  uptimeMs: z.number().describe('Milliseconds since the process started.'),
  revision: z.int().describe('Revision of the active configuration; -1 for none.'),
  ready: z.boolean(),
  draining: z.boolean(),
  waiting: countSchema.describe('Requests queued at this process.'),
  running: countSchema.describe('Requests that this process has in progress at upstreams.'),
  linksUp: countSchema.describe('Sessions with other processes that are connected now.'),
  links: countSchema.describe('Sessions with other processes, connected or not.'),
  pauses: countSchema.describe('Detected pauses of the process since it started.'),
  logLevel: z.enum(LOG_LEVELS)
})

/** Active configuration and its source. */
export const configSchema = z.object({
  revision: z.int(),
  source: z.enum(['none', 'platform', 'peer']).describe('Source of the revision.'),
  sourceHost: idSchema<HostId>().optional().describe('Peer that sent the revision.'),
  acceptedAt: wallTimeSchema.optional(),
  refused: z.object({ revision: z.int(), findings: z.array(z.string()) }).optional()
    .describe('Newest refused revision, with its validation findings.'),
  watch: z.object({
    reads: countSchema.describe('Reads of the configuration service since the process started.'),
    failures: countSchema.describe('Failed reads since the last successful one.'),
    lastFailure: z.string().optional()
  }).optional().describe('Absent when the process does not watch the configuration service itself.'),
  config: z.unknown().describe('Effective configuration of the site; keys of callers are replaced by digests.')
})

/** Sessions with other processes, and the known hosts. */
export const linksSchema = z.object({
  links: z.array(z.object({
    peer: idSchema<HostId>(),
    incarnation: idSchema<Incarnation>(),
    role: roleSchema,
    zone: idSchema<ZoneId>(),
    connected: z.boolean(),
    roundTripMs: z.number().describe('Smoothed round-trip time; 0 until measured.'),
    clockOffsetMs: z.number().describe('Wall clock of the peer minus that of this process.'),
    unconfirmedBytes: countSchema
  })),
  members: z.array(z.object({
    host: idSchema<HostId>(),
    role: roleSchema,
    zone: idSchema<ZoneId>(),
    state: z.enum(['live', 'leaving', 'unknown']),
    sources: z.array(z.enum(['settings', 'host-list', 'configuration', 'link'])).describe('Sources that list the host.')
  }))
})

/** Backlog and service by service and workspace. */
export const workspacesSchema = z.object({
  workspaces: z.array(z.object({
    service: idSchema<ServiceId>(),
    workspace: idSchema<WorkspaceId>(),
    weight: z.number(),
    waiting: countSchema.describe('Requests queued at this process; 0 at an agent.'),
    oldestWaitMs: z.number().describe('Wait of the oldest queued request.'),
    runningHere: countSchema.describe('Requests in progress that this process started or handed over.'),
    servedHere: z.number().describe('Cost units that this process has charged since it started; 0 at a router.'),
    served: z.number().describe('Cost units charged by the whole fleet, as far as this process knows.'),
    virtualTime: z.number().describe('Cost units served divided by the weight, plus forfeited credit.')
  }))
})

/** Upstreams that the process knows. */
export const upstreamsSchema = z.object({
  upstreams: z.array(z.object({
    upstream: idSchema<UpstreamId>(),
    service: idSchema<ServiceId>(),
    zone: idSchema<ZoneId>(),
    host: idSchema<HostId>(),
    state: z.enum(['ready', 'cold', 'draining', 'leaving', 'zone-out', 'down', 'unlinked']),
    reason: z.string(),
    limit: z.number().describe('Limit of requests in progress at the upstream.'),
    running: countSchema
  }))
})

/** Recently refused requests, and requests in quarantine. */
export const refusalsSchema = z.object({
  refusals: z.array(z.object({
    at: wallTimeSchema,
    request: idSchema<RequestId>().optional(),
    workspace: idSchema<WorkspaceId>().optional(),
    service: idSchema<ServiceId>().optional(),
    status: z.int().describe('HTTP status of the response to the caller.'),
    outcome: z.enum(['not-run', 'unknown', 'ran']),
    reason: z.string(),
    retryAfterMs: z.number().optional()
  })).describe('Oldest first.'),
  quarantined: z.array(z.object({
    workspace: idSchema<WorkspaceId>(),
    fingerprint: idSchema<Fingerprint>(),
    remainingMs: z.number()
  })).describe('Requests that crashed upstreams and are refused for a limited time.')
})

/** Active limits and how much of each is used. */
export const limitsSchema = z.object({
  limits: z.array(z.object({
    name: z.string(),
    unit: z.string(),
    limit: z.number(),
    used: z.number().optional().describe('Absent when usage is not counted.')
  }))
})

/** Time line entries of one process. */
export const timelineSchema = z.object({
  host: idSchema<HostId>(),
  role: roleSchema,
  wallMs: wallTimeSchema,
  entries: z.array(z.object({
    seq: countSchema.describe('Sequence number, increasing within the process.'),
    at: wallTimeSchema,
    host: idSchema<HostId>(),
    incarnation: idSchema<Incarnation>(),
    event: z.looseObject({ kind: z.string() }) as unknown as z.ZodType<TimeLineEvent, TimeLineEvent>
  })),
  clocks: z.array(z.object({
    peer: idSchema<HostId>(),
    clockOffsetMs: z.number().describe('Wall clock of the peer minus that of this process.'),
    roundTripMs: z.number().describe('Round-trip time of the measurement; the error of the offset is at most half of it.')
  })).describe('Clock offsets measured by the links.')
})

/** Whether the process drains. */
export const drainSchema = z.object({ draining: z.boolean() })

/** Schemas of the answers of the administration API. */
import {
  type Fingerprint, type HostId, type Id, type Incarnation, LOG_LEVELS, type RequestId, type ServiceId, type SiteId,
  type TimeLineEvent, type UpstreamId, type WorkspaceId, type ZoneId
} from '@fuchsiaworks/kernel'
import * as z from 'zod'

const idSchema = <T extends Id<string>>(): z.ZodType<T, string> => z.string() as unknown as z.ZodType<T, string>

const countSchema = z.int().min(0)
const wallTimeSchema = z.number().describe('Wall-clock milliseconds since the Unix epoch.')

/** Part that a process plays. */
const roleSchema = z.enum(['router', 'agent'])

/** Lowest level of the log lines that are written. */
export const logLevelSchema = z.object({ level: z.enum(LOG_LEVELS).describe('Lowest level that is written.') })

/** Whether the process lives. */
export const healthSchema = z.object({ healthy: z.boolean() })

/** Whether the balancer may send requests here. */
export const readySchema = z.object({
  ready: z.boolean(),
  reasons: z.array(z.string()).describe('Why the process is not ready.')
})

/** Who the process is and how it does. */
export const statusSchema = z.object({
  role: roleSchema,
  host: idSchema<HostId>(),
  zone: idSchema<ZoneId>(),
  site: idSchema<SiteId>(),
  incarnation: idSchema<Incarnation>().describe('Life of the process; a restart takes a new one.'),
  wallMs: wallTimeSchema,
  uptimeMs: z.number().describe('Milliseconds since the start.'),
  revision: z.int().describe('Revision of the configuration in force; -1 for none.'),
  ready: z.boolean(),
  draining: z.boolean(),
  waiting: countSchema.describe('Requests that wait here.'),
  running: countSchema.describe('Requests of this process in progress at upstreams.'),
  linksUp: countSchema.describe('Sessions with a connection.'),
  links: countSchema.describe('Sessions.'),
  pauses: countSchema.describe('Pauses of the process that were seen since the start.'),
  logLevel: z.enum(LOG_LEVELS)
})

/** The configuration in force and how it came. */
export const configSchema = z.object({
  revision: z.int(),
  source: z.enum(['none', 'platform', 'peer']).describe('Where the revision came from.'),
  sourceHost: idSchema<HostId>().optional().describe('The peer that handed it on.'),
  acceptedAt: wallTimeSchema.optional(),
  refused: z.object({ revision: z.int(), findings: z.array(z.string()) }).optional()
    .describe('The newest revision that was refused, with its findings.'),
  watch: z.object({
    reads: countSchema.describe('Reads of the configuration service since the start.'),
    failures: countSchema.describe('Failures since the last read that succeeded.'),
    lastFailure: z.string().optional()
  }).optional().describe('Absent where the process does not watch the service itself.'),
  config: z.unknown().describe('Effective configuration of the site; caller keys are digests.')
})

/** Sessions with other processes, and what is known of their hosts. */
export const linksSchema = z.object({
  links: z.array(z.object({
    peer: idSchema<HostId>(),
    incarnation: idSchema<Incarnation>(),
    role: roleSchema,
    zone: idSchema<ZoneId>(),
    connected: z.boolean(),
    roundTripMs: z.number().describe('Smoothed round trip; 0 until measured.'),
    clockOffsetMs: z.number().describe('Wall clock of the peer minus that of this process.'),
    unconfirmedBytes: countSchema
  })),
  members: z.array(z.object({
    host: idSchema<HostId>(),
    role: roleSchema,
    zone: idSchema<ZoneId>(),
    state: z.enum(['live', 'leaving', 'unknown']),
    sources: z.array(z.enum(['settings', 'host-list', 'configuration', 'link'])).describe('Where the host is known from.')
  }))
})

/** Backlog and service by service and workspace. */
export const workspacesSchema = z.object({
  workspaces: z.array(z.object({
    service: idSchema<ServiceId>(),
    workspace: idSchema<WorkspaceId>(),
    weight: z.number(),
    waiting: countSchema.describe('Requests that wait at this process; 0 at an agent.'),
    oldestWaitMs: z.number().describe('Wait of the oldest of them.'),
    runningHere: countSchema.describe('Requests in progress that this process started or handed over.'),
    servedHere: z.number().describe('Cost units that this process has charged since its start; 0 at a router.'),
    served: z.number().describe('Cost units over the fleet, as far as this process knows.'),
    virtualTime: z.number().describe('Served by weight plus forfeited credit.')
  }))
})

/** Upstreams as the process sees them. */
export const upstreamsSchema = z.object({
  upstreams: z.array(z.object({
    upstream: idSchema<UpstreamId>(),
    service: idSchema<ServiceId>(),
    zone: idSchema<ZoneId>(),
    host: idSchema<HostId>(),
    state: z.enum(['ready', 'cold', 'draining', 'leaving', 'zone-out', 'down', 'unlinked']),
    reason: z.string(),
    limit: z.number().describe('Requests that it may have in progress.'),
    running: countSchema
  }))
})

/** Requests that were refused of late. */
export const refusalsSchema = z.object({
  refusals: z.array(z.object({
    at: wallTimeSchema,
    request: idSchema<RequestId>().optional(),
    workspace: idSchema<WorkspaceId>().optional(),
    service: idSchema<ServiceId>().optional(),
    status: z.int().describe('HTTP status that the caller got.'),
    outcome: z.enum(['not-run', 'unknown', 'ran']),
    reason: z.string(),
    retryAfterMs: z.number().optional()
  })).describe('Oldest first.'),
  quarantined: z.array(z.object({
    workspace: idSchema<WorkspaceId>(),
    fingerprint: idSchema<Fingerprint>(),
    remainingMs: z.number()
  })).describe('Requests that ended upstreams and are refused for a while.')
})

/** Limits in force and how much of each is used. */
export const limitsSchema = z.object({
  limits: z.array(z.object({
    name: z.string(),
    unit: z.string(),
    limit: z.number(),
    used: z.number().optional().describe('Absent where nothing is counted.')
  }))
})

/** Part of the time line of one process. */
export const timelineSchema = z.object({
  host: idSchema<HostId>(),
  role: roleSchema,
  wallMs: wallTimeSchema,
  entries: z.array(z.object({
    seq: countSchema.describe('Rising number within the process.'),
    at: wallTimeSchema,
    host: idSchema<HostId>(),
    incarnation: idSchema<Incarnation>(),
    event: z.looseObject({ kind: z.string() }) as unknown as z.ZodType<TimeLineEvent, TimeLineEvent>
  })),
  clocks: z.array(z.object({
    peer: idSchema<HostId>(),
    clockOffsetMs: z.number().describe('Wall clock of the peer minus that of this process.'),
    roundTripMs: z.number().describe('The offset is right to within half of it.')
  })).describe('Clock offsets as the links report them.')
})

/** Whether a drain is under way. */
export const drainSchema = z.object({ draining: z.boolean() })

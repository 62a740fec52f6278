/** Registry of the routes that every process offers to operators. */
import * as z from 'zod'
import {
  configSchema, drainSchema, healthSchema, limitsSchema, linksSchema, logLevelSchema, readySchema, refusalsSchema,
  statusSchema, timelineSchema, upstreamsSchema, workspacesSchema
} from './responseSchemas.js'
import { defineRoute, type BoundRoute, type RouteHandler, type RouteResponse } from './routeTypes.js'

/** HTTP status of a process that is not ready. */
const NOT_READY_STATUS = 503

const emptySchema = z.strictObject({})

const timelineQuery = z.strictObject({
  since: z.coerce.number().min(0).optional().describe('Only entries of the last so many milliseconds.'),
  request: z.string().min(1).optional().describe('Only entries of this request.')
})

/** Every route by name. */
export const adminRoutes = {
  health: defineRoute({
    method: 'GET',
    path: '/healthz',
    summary: 'Tells that the process lives.',
    access: 'open',
    query: emptySchema,
    body: emptySchema,
    schema: healthSchema
  }),
  ready: defineRoute({
    method: 'GET',
    path: '/readyz',
    summary: `Tells a balancer whether to send requests here; status ${NOT_READY_STATUS} while not.`,
    access: 'open',
    query: emptySchema,
    body: emptySchema,
    schema: readySchema,
    statusOf: response => response.ready ? 200 : NOT_READY_STATUS
  }),
  status: defineRoute({
    method: 'GET',
    path: '/v1/status',
    summary: 'Who the process is and how it does.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: statusSchema
  }),
  config: defineRoute({
    method: 'GET',
    path: '/v1/config',
    summary: 'The effective configuration, its revision, and where it came from.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: configSchema
  }),
  links: defineRoute({
    method: 'GET',
    path: '/v1/links',
    summary: 'Sessions with other processes, and the hosts that are known.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: linksSchema
  }),
  workspaces: defineRoute({
    method: 'GET',
    path: '/v1/workspaces',
    summary: 'Backlog, service and virtual time by service and workspace.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: workspacesSchema
  }),
  upstreams: defineRoute({
    method: 'GET',
    path: '/v1/upstreams',
    summary: 'Limit, state and its reason for each upstream that the process sees.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: upstreamsSchema
  }),
  refusals: defineRoute({
    method: 'GET',
    path: '/v1/refusals',
    summary: 'Requests that were refused of late, and requests in quarantine.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: refusalsSchema
  }),
  limits: defineRoute({
    method: 'GET',
    path: '/v1/limits',
    summary: 'Limits in force and how much of each is used.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: limitsSchema
  }),
  timeline: defineRoute({
    method: 'GET',
    path: '/v1/timeline',
    summary: 'Entries of the time line of this process, oldest first, with clock offsets to its peers.',
    access: 'key',
    query: timelineQuery,
    body: emptySchema,
    schema: timelineSchema
  }),
  logLevel: defineRoute({
    method: 'PUT',
    path: '/v1/log-level',
    summary: 'Sets the lowest level of the log lines that are written.',
    access: 'key',
    query: emptySchema,
    body: z.strictObject(logLevelSchema.shape),
    schema: logLevelSchema
  }),
  drain: defineRoute({
    method: 'POST',
    path: '/v1/drain',
    summary: 'Begins a graceful shutdown: no new work, and the process ends when its work has.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    schema: drainSchema
  })
} as const

/** Name of a route. */
export type AdminRouteName = keyof typeof adminRoutes

/** Answer of a route. */
export type AdminAnswer<Name extends AdminRouteName> = RouteResponse<typeof adminRoutes[Name]>

/** A handler for each route that a process offers. */
export type AdminHandlers = { readonly [Name in AdminRouteName]?: RouteHandler<typeof adminRoutes[Name]> }

/**
 * Joins routes with their handlers.
 *
 * @param handlers - handlers by route name; a route without one is not offered
 * @returns the routes for startAdmin
 */
export const serveRoutes = (handlers: AdminHandlers): BoundRoute[] =>
  Object.entries(adminRoutes).flatMap(([name, route]) => {
    const handle = handlers[name as AdminRouteName]
    return handle === undefined ? [] : [{ ...route, handle } as unknown as BoundRoute]
  })

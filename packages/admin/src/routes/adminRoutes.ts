/** Registry of the routes of the administration API. */
import * as z from 'zod'
import {
  configSchema, drainSchema, healthSchema, limitsSchema, linksSchema, logLevelSchema, readySchema, refusalsSchema,
  statusSchema, timelineSchema, upstreamsSchema, workspacesSchema
} from './responseSchemas.js'
import { defineRoute, type BoundRoute, type RouteHandler, type RouteResponse } from './routeTypes.js'

/** HTTP status of the readiness route while the process is not ready. */
const NOT_READY_STATUS = 503

const emptySchema = z.strictObject({})

const timelineQuery = z.strictObject({
  since: z.coerce.number().min(0).optional().describe('Only entries of the last N milliseconds.'),
  request: z.string().min(1).optional().describe('Only entries of this request.')
})

/** Routes by name. */
export const adminRoutes = {
  health: defineRoute({
    method: 'GET',
    path: '/healthz',
    summary: 'Liveness check: succeeds while the process serves this API.',
    access: 'open',
    query: emptySchema,
    body: emptySchema,
    responseSchema: healthSchema
  }),
  ready: defineRoute({
    method: 'GET',
    path: '/readyz',
    summary: `Readiness check for load balancers; status ${NOT_READY_STATUS} while the process is not ready.`,
    access: 'open',
    query: emptySchema,
    body: emptySchema,
    responseSchema: readySchema,
    statusOf: response => response.ready ? 200 : NOT_READY_STATUS
  }),
  status: defineRoute({
    method: 'GET',
    path: '/v1/status',
    summary: 'Identity and state of the process.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: statusSchema
  }),
  config: defineRoute({
    method: 'GET',
    path: '/v1/config',
    summary: 'Effective configuration, its revision and its source.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: configSchema
  }),
  links: defineRoute({
    method: 'GET',
    path: '/v1/links',
    summary: 'Sessions with other processes, and the known hosts.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: linksSchema
  }),
  workspaces: defineRoute({
    method: 'GET',
    path: '/v1/workspaces',
    summary: 'Backlog, service and virtual time by service and workspace.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: workspacesSchema
  }),
  upstreams: defineRoute({
    method: 'GET',
    path: '/v1/upstreams',
    summary: 'Limit, state and reason of the state for each upstream that the process knows.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: upstreamsSchema
  }),
  refusals: defineRoute({
    method: 'GET',
    path: '/v1/refusals',
    summary: 'Recently refused requests, and requests in quarantine.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: refusalsSchema
  }),
  limits: defineRoute({
    method: 'GET',
    path: '/v1/limits',
    summary: 'Active limits and how much of each is used.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: limitsSchema
  }),
  timeline: defineRoute({
    method: 'GET',
    path: '/v1/timeline',
    summary: 'Time line entries of this process, oldest first, with clock offsets to its peers.',
    access: 'key',
    query: timelineQuery,
    body: emptySchema,
    responseSchema: timelineSchema
  }),
  logLevel: defineRoute({
    method: 'PUT',
    path: '/v1/log-level',
    summary: 'Sets the lowest level of log messages that are written.',
    access: 'key',
    query: emptySchema,
    body: z.strictObject(logLevelSchema.shape),
    responseSchema: logLevelSchema
  }),
  drain: defineRoute({
    method: 'POST',
    path: '/v1/drain',
    summary: 'Starts a graceful shutdown: the process accepts no new requests and exits when its remaining requests have ended.',
    access: 'key',
    query: emptySchema,
    body: emptySchema,
    responseSchema: drainSchema
  })
} as const

/** Name of a route. */
export type AdminRouteName = keyof typeof adminRoutes

/** Response value of a route. */
export type AdminResponse<Name extends AdminRouteName> = RouteResponse<typeof adminRoutes[Name]>

/** Handlers of the routes that a process offers. */
export type AdminHandlers = { readonly [Name in AdminRouteName]?: RouteHandler<typeof adminRoutes[Name]> }

/**
 * Binds handlers to their routes.
 *
 * @param handlers - handlers by route name; a route without one is not offered
 * @returns the bound routes, for startAdmin
 */
export const bindHandlers = (handlers: AdminHandlers): BoundRoute[] =>
  Object.entries(adminRoutes).flatMap(([name, route]) => {
    const handle = handlers[name as AdminRouteName]
    return handle === undefined ? [] : [{ ...route, handle } as unknown as BoundRoute]
  })

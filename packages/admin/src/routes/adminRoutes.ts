/** Registry of the routes that every process offers to operators. */
import * as z from 'zod'
import {
  configSchema, drainSchema, healthSchema, limitsSchema, linksSchema, logLevelSchema, readySchema, refusalsSchema,
  statusSchema, timelineSchema, upstreamsSchema, workspacesSchema
} from './answers.js'
import { defineRoute, type RouteAnswer, type RouteHandler, type ServedRoute } from './routeTypes.js'

/** HTTP status of a process that is not ready. */
const NOT_READY_STATUS = 503

const none = z.strictObject({})

const timelineQuery = z.strictObject({
  since: z.coerce.number().min(0).optional().describe('Only entries of the last so many milliseconds.'),
  request: z.string().min(1).optional().describe('Only entries of this request.')
})

/** Every route by name. */
export const adminRoutes = {
  health: defineRoute({
    method: 'GET',
    path: '/healthz',
    describe: 'Tells that the process lives.',
    access: 'open',
    query: none,
    body: none,
    responseSchema: healthSchema
  }),
  ready: defineRoute({
    method: 'GET',
    path: '/readyz',
    describe: `Tells a balancer whether to send requests here; status ${NOT_READY_STATUS} while not.`,
    access: 'open',
    query: none,
    body: none,
    responseSchema: readySchema,
    statusOf: answer => answer.ready ? 200 : NOT_READY_STATUS
  }),
  status: defineRoute({
    method: 'GET',
    path: '/v1/status',
    describe: 'Who the process is and how it does.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: statusSchema
  }),
  config: defineRoute({
    method: 'GET',
    path: '/v1/config',
    describe: 'The effective configuration, its revision, and where it came from.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: configSchema
  }),
  links: defineRoute({
    method: 'GET',
    path: '/v1/links',
    describe: 'Sessions with other processes, and the hosts that are known.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: linksSchema
  }),
  workspaces: defineRoute({
    method: 'GET',
    path: '/v1/workspaces',
    describe: 'Backlog, service and virtual time by service and workspace.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: workspacesSchema
  }),
  upstreams: defineRoute({
    method: 'GET',
    path: '/v1/upstreams',
    describe: 'Limit, state and its reason for each upstream that the process sees.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: upstreamsSchema
  }),
  refusals: defineRoute({
    method: 'GET',
    path: '/v1/refusals',
    describe: 'Requests that were refused of late, and requests in quarantine.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: refusalsSchema
  }),
  limits: defineRoute({
    method: 'GET',
    path: '/v1/limits',
    describe: 'Limits in force and how much of each is used.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: limitsSchema
  }),
  timeline: defineRoute({
    method: 'GET',
    path: '/v1/timeline',
    describe: 'Entries of the time line of this process, oldest first, with clock offsets to its peers.',
    access: 'key',
    query: timelineQuery,
    body: none,
    responseSchema: timelineSchema
  }),
  logLevel: defineRoute({
    method: 'PUT',
    path: '/v1/log-level',
    describe: 'Sets the lowest level of the log lines that are written.',
    access: 'key',
    query: none,
    body: z.strictObject(logLevelSchema.shape),
    responseSchema: logLevelSchema
  }),
  drain: defineRoute({
    method: 'POST',
    path: '/v1/drain',
    describe: 'Begins a graceful shutdown: no new work, and the process ends when its work has.',
    access: 'key',
    query: none,
    body: none,
    responseSchema: drainSchema
  })
} as const

/** Name of a route. */
export type AdminRouteName = keyof typeof adminRoutes

/** Answer of a route. */
export type AdminResponse<Name extends AdminRouteName> = RouteAnswer<typeof adminRoutes[Name]>

/** A handler for each route that a process offers. */
export type AdminHandlers = { readonly [Name in AdminRouteName]?: RouteHandler<typeof adminRoutes[Name]> }

/**
 * Joins routes with their handlers.
 *
 * @param handlers - handlers by route name; a route without one is not offered
 * @returns the routes for startAdmin
 */
export const bindHandlers = (handlers: AdminHandlers): ServedRoute[] =>
  Object.entries(adminRoutes).flatMap(([name, route]) => {
    const handle = handlers[name as AdminRouteName]
    return handle === undefined ? [] : [{ ...route, handle } as unknown as ServedRoute]
  })

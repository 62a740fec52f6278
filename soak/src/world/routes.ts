/** Services and routes of a soak. */
import { asId, type Millis, type ServiceId } from '@fuchsiaworks/kernel'
import type { GatewayRoute } from '@fuchsiaworks/gateway'
import type { RequestKind } from '../invariants/observationTypes.js'
import { MAX_ATTEMPTS } from '../invariants/runChecks.js'

/** Host header that the routes match. */
export const HOST = 'soak.example'

/** Names of the services. */
export const SERVICES = { plain: 'plain', stream: 'stream' } as const

/** Timeouts of the routes. */
export const ROUTE_TIMEOUTS_MS: Readonly<Record<RequestKind, Millis>> = { safe: 1500, once: 1500, stream: 4000, probe: 1500 }

const buildRoute = (kind: RequestKind, fields: Partial<GatewayRoute>): GatewayRoute => ({
  id: asId(kind),
  host: HOST,
  prefix: `/${kind}/`,
  targets: [{ service: asId<ServiceId>(SERVICES.plain), weight: 1 }],
  repeatability: 'idempotent',
  isStream: false,
  timeoutMs: ROUTE_TIMEOUTS_MS[kind],
  latencyTargetMs: ROUTE_TIMEOUTS_MS[kind] / 2,
  maxAttempts: MAX_ATTEMPTS,
  isPublic: false,
  ...fields
})

const fixedRoutes = (streamTimeoutMs: Millis, streamServices: readonly string[]): GatewayRoute[] => [
  buildRoute('safe', {}),
  buildRoute('once', { repeatability: 'once' }),
  buildRoute('stream', { repeatability: 'resumable', isStream: true, timeoutMs: streamTimeoutMs, targets: streamServices.map(name => ({ service: asId<ServiceId>(name), weight: 1 })) })
]

/** @returns the routes of a revision: the fixed ones, and a probe route that only this revision has */
export const routesOfRevision = (revision: number, streamTimeoutMs: Millis, streamServices: readonly string[]): GatewayRoute[] =>
  [...fixedRoutes(streamTimeoutMs, streamServices), buildRoute('probe', { id: asId(`probe-${revision}`), prefix: `/probe-${revision}/`, isPublic: true })]

/** Formats the shared configuration of a deployment, as an operator would publish it. */
import { createHash } from 'node:crypto'
import type { ConfigurationDocuments } from '@fuchsiaworks/standins'
import { type Deployment, type ServiceShape, listUpstreams } from './deploymentTypes.js'

/** Changes of the configuration during a run. */
export interface ConfigurationChanges {
  /** Zones that are taken out of service. */
  readonly zonesOut: readonly string[]
  /** Ids of upstreams that are leaving. */
  readonly leaving: readonly string[]
}

/** The configuration as it is at the start of a run. */
export const NO_CHANGES: ConfigurationChanges = { zonesOut: [], leaving: [] }

/** Longest time that a request waits for a slot. */
export const PATIENCE_MS = 20_000

/**
 * Returns the bearer key that callers of a workspace send.
 *
 * @param workspace - id of the workspace
 */
export const bearerKeyOf = (workspace: string): string => `bench-key-of-${workspace}`

/** Time after which a session without a connection expires; shorter than the pauses of processes in the faults of the bench. */
export const SESSION_EXPIRY_MS = 8000

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')

const mapEntries = <T>(items: readonly T[], entry: (item: T) => [string, unknown]): Record<string, unknown> =>
  Object.fromEntries(items.map(entry))

const serviceDocument = (service: ServiceShape): object => ({
  kind: service.kind,
  notIdempotentPaths: service.notIdempotentPaths,
  maxConcurrency: service.slots,
  coldConcurrency: service.coldSlots
})

/**
 * Formats the base document, and the overlay of the only site.
 *
 * @param deployment - the deployment
 * @param changes - changes that the operator has made
 * @returns the documents to publish
 */
export const writeDocuments = (deployment: Deployment, changes: ConfigurationChanges): ConfigurationDocuments => {
  const { name, region, zones, services, workspaces, utcOffsetMinutes } = deployment
  const base = {
    zones: mapEntries(zones, zone => [zone, { region, state: changes.zonesOut.includes(zone) ? 'out' : 'in' }]),
    services: mapEntries(services, service => [service.id, serviceDocument(service)]),
    upstreams: mapEntries(listUpstreams(deployment), ({ id, service, zone, host }) =>
      [id, { service: service.id, zone, host, state: changes.leaving.includes(id) ? 'leaving' : 'in' }]),
    workspaces: mapEntries(workspaces, workspace => [workspace.id, {
      weight: workspace.weight,
      keys: [sha256(bearerKeyOf(workspace.id))],
      services: Object.keys(workspace.services),
      patience: { defaultMs: PATIENCE_MS }
    }]),
    sites: { [name]: { zones, utcOffsetMinutes: 0 } },
    links: { expiryMs: SESSION_EXPIRY_MS }
  }
  const overlay = { sites: { [name]: { utcOffsetMinutes } } }
  return { base: JSON.stringify(base, undefined, 2), overlays: { [name]: JSON.stringify(overlay, undefined, 2) } }
}

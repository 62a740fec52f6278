/** Types of the shared configuration. */
import type { Finding, SourceLocation, SiteId } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import type { configSchema } from './configSchema.js'

/** The effective configuration of a site: the base merged with the overlay of the site. */
export interface FleetConfig extends z.output<typeof configSchema> {}

/** Configuration of one service. */
export type ServiceConfig = FleetConfig['services'][keyof FleetConfig['services']]

/** Configuration of one upstream. */
export type UpstreamConfig = FleetConfig['upstreams'][keyof FleetConfig['upstreams']]

/** Configuration of one workspace. */
export type WorkspaceConfig = FleetConfig['workspaces'][keyof FleetConfig['workspaces']]

/** Configuration of one site. */
export type SiteConfig = FleetConfig['sites'][keyof FleetConfig['sites']]

/** Place where each value was set, by its dotted path. Paths that are missing have their default. */
export type Origins = ReadonlyMap<string, SourceLocation>

/** Result of checking a base file with one overlay. */
export interface CheckedConfig {
  /** The effective configuration; undefined if any finding is an error. */
  readonly config: FleetConfig | undefined
  readonly findings: readonly Finding[]
  /** Computes the place where each value was set. */
  readonly origins: () => Origins
}

/** Document set that the platform publishes: one base file and an overlay for each site. The revision increases with each change. */
export interface ConfigDocuments {
  readonly revision: number
  readonly base: string
  readonly overlays: Readonly<Record<SiteId, string>>
}

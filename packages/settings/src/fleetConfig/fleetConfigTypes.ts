/** Types of the shared configuration. */
import type { Finding, SourceLocation, SiteId } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import type { configSchema } from './configSchema.js'

/** The shared configuration after the overlay of a site was merged. */
export interface FleetConfig extends z.output<typeof configSchema> {}

/** Configuration of one service. */
export type ServiceConfig = FleetConfig['services'][keyof FleetConfig['services']]

/** Configuration of one upstream. */
export type UpstreamConfig = FleetConfig['upstreams'][keyof FleetConfig['upstreams']]

/** Configuration of one workspace. */
export type WorkspaceConfig = FleetConfig['workspaces'][keyof FleetConfig['workspaces']]

/** Configuration of one site. */
export type SiteConfig = FleetConfig['sites'][keyof FleetConfig['sites']]

/** Where each value was set, by its path joined with dots. A path that is missing has its default. */
export type Origins = ReadonlyMap<string, SourceLocation>

/** What checking a base file with one overlay gave. */
export interface CheckedConfig {
  /** Absent when a finding is an error. */
  readonly config: FleetConfig | undefined
  readonly findings: readonly Finding[]
  /** Works out where each value was set. */
  readonly origins: () => Origins
}

/** What the platform publishes: one base file and an overlay for each site, under a rising revision. */
export interface ConfigDocuments {
  readonly revision: number
  readonly base: string
  readonly overlays: Readonly<Record<SiteId, string>>
}

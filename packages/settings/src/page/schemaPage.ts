/** The reference page of settings and shared configuration, written from the schemas. */
import { configSchema } from '../fleetConfig/configSchema.js'
import { fleetWideKeys } from '../fleetConfig/overlayChecks.js'
import { agentSettingsSchema, routerSettingsSchema } from '../processSettings/settingsSchema.js'
import { markdownRows, schemaRows } from './schemaRows.js'

const INTRODUCTION = `# Configuration

Written by \`npm run docs\` from the schemas in \`packages/settings\`. Change those, not this page.

Files are JSON with comments; a trailing comma is allowed. Ids have up to 63 lower-case letters, digits, dots, underscores and
hyphens, and begin with a letter or digit. Every span of time is a whole number of milliseconds, every size one of bytes.
\`fuchsiactl check BASE [--site OVERLAY]...\` prints every finding with file, line and column, and exits 1 when one is an error.`

const OVERLAYS = `## Overlays

The shared configuration is one base file and an overlay for each site. A site gets the base with its own overlay laid over it:
objects merge by key, \`null\` removes a key, lists and other values replace. \`fuchsiactl show BASE --site OVERLAY\` prints the
result with the file and line that set each value. The base has to be valid alone too. The set is refused as a
whole when any of its documents has an error; the last accepted revision then stays in force.

An overlay can't change what the processes of all sites must agree on:`

const CHECKS = `## Checks between keys

Errors: a service, zone or workspace service that is named but not configured; a zone that no site has, or that two sites have; a caller
key, a host of an upstream, or a time of day of one workspace that is given twice; \`links.heartbeatMs\` that is not less than
\`links.silenceMs\`, or that not less than \`links.expiryMs\`; an overlay for a site that is not configured.
Warnings: a service that no upstream offers; an overlay that removes what the base does not have.`

const overlayRules = (): string[] =>
  fleetWideKeys.map(({ path, reason }) => `- \`${path.join('.')}\`: ${reason}.`)

/**
 * Writes the page.
 *
 * @returns the text of docs/CONFIGURATION.md
 */
export const schemaPage = (): string => [
  INTRODUCTION,
  '',
  '## Shared configuration',
  '',
  ...markdownRows(schemaRows(configSchema)),
  '',
  OVERLAYS,
  '',
  ...overlayRules(),
  '',
  CHECKS,
  '',
  '## Settings of a router',
  '',
  'Read by `fuchsiaworks router --settings FILE`.',
  '',
  ...markdownRows(schemaRows(routerSettingsSchema)),
  '',
  '## Settings of an agent',
  '',
  'Read by `fuchsiaworks agent --settings FILE`.',
  '',
  ...markdownRows(schemaRows(agentSettingsSchema)),
  ''
].join('\n')

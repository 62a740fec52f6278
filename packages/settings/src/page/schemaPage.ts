/** Generates the reference page of settings and shared configuration from the schemas. */
import { configSchema } from '../fleetConfig/configSchema.js'
import { fleetWideKeys } from '../fleetConfig/overlayChecks.js'
import { gatewaySettingsSchema } from '../processSettings/gatewaySchema.js'
import { agentSettingsSchema, routerSettingsSchema } from '../processSettings/settingsSchema.js'
import { streamRecorderSettingsSchema } from '../processSettings/streamRecorderSettings.js'
import { markdownRows, schemaRows } from './schemaRows.js'

const INTRODUCTION = `# Configuration

Written by \`npm run docs\` from the schemas in \`packages/settings\`. Change those, not this page.

Files are JSON with comments; a trailing comma is allowed. Ids have up to 63 lower-case letters, digits, dots, underscores and
hyphens, and begin with a letter or digit. Durations are whole numbers of milliseconds, sizes whole numbers of bytes.
\`fuchsiactl check BASE [--site OVERLAY]...\` prints every finding with file, line and column, and exits with 1 if any is an error.`

const OVERLAYS = `## Overlays

The shared configuration consists of one base file and an overlay for each site. A site uses the base merged with its own
overlay: objects are merged by key, \`null\` removes a key, lists and other values replace the base's value.
\`fuchsiactl show BASE --site OVERLAY\` prints the result with the file and line that set each value. The base must also be valid
without an overlay. If any document has an error, the entire set is rejected and the last accepted revision stays active.

An overlay can't change keys that must be the same at all sites:`

const CHECKS = `## Checks between keys

Errors: a reference to a service or zone that is not configured; a zone that belongs to no site or to two; a duplicate caller key,
host of an upstream, or time of day within one workspace; \`links.heartbeatMs\` that is not less than \`links.silenceMs\`;
\`links.silenceMs\` that is not less than \`links.expiryMs\`; an overlay for a site that is not configured.
Warnings: a service without an upstream; an overlay that removes a key that the base does not have.`

const overlayRules = (): string[] =>
  fleetWideKeys.map(({ path, reason }) => `- \`${path.join('.')}\`: ${reason}.`)

/** Returns the text of docs/CONFIGURATION.md. */
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
  '',
  '## Settings of a gateway',
  '',
  'Read by the gateway from the file that `--settings` names; `fuchsiactl check --gateway FILE` checks it.',
  '',
  ...markdownRows(schemaRows(gatewaySettingsSchema)),
  '',
  '## Settings of a stream recorder',
  '',
  'Read by `fuchsiaworks stream-recorder --settings FILE`.',
  '',
  ...markdownRows(schemaRows(streamRecorderSettingsSchema)),
  ''
].join('\n')

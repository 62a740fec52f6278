/** Local settings of a stream recorder. A module of its own, so that the recorder loads no other schema. */
import { type HostId, LOG_LEVELS, type ZoneId } from '@fuchsiaworks/kernel'
import * as z from 'zod'
import type { NamedText } from '../document/documentTypes.js'
import { idSchema, text } from '../document/scalars.js'
import { parseWithSchema } from './parseWithSchema.js'

/** Schema of the local settings of a stream recorder. */
export const streamRecorderSettingsSchema = z.strictObject({
  role: z.literal('stream-recorder').describe('`stream-recorder` on a host beside an upstream.'),
  host: idSchema<HostId>().describe('Name of the host; must not change when the process restarts. Its hash decides whether the recorder is active in a large fleet.'),
  zone: idSchema<ZoneId>().describe('Availability zone of the host.'),
  seeds: z.array(text).default([]).describe('Peer addresses of some gateways, from which the others are learned.'),
  logLevel: z.enum(LOG_LEVELS).default('info').describe('Minimum level of log lines.')
})

/** Local settings of a stream recorder. */
export interface StreamRecorderSettings extends z.output<typeof streamRecorderSettingsSchema> {}

/**
 * Parses the settings of a stream recorder, in JSONC.
 *
 * @param source - the text and its name
 * @returns the settings with defaults applied
 * @throws FindingsError with all findings
 */
export const parseStreamRecorderSettings = (source: NamedText): StreamRecorderSettings => parseWithSchema(streamRecorderSettingsSchema, source)

/** Parses the local settings of a process. */
import type { NamedText } from '../document/documentTypes.js'
import { type GatewaySettings, gatewaySettingsSchema } from './gatewaySchema.js'
import { parseWithSchema } from './parseWithSchema.js'
import { type ProcessSettings, settingsSchema } from './settingsSchema.js'

/**
 * Parses the settings of a router or an agent, in JSONC.
 *
 * @param source - the text and its name
 * @returns the settings with defaults applied
 * @throws FindingsError with all findings
 */
export const parseSettings = (source: NamedText): ProcessSettings => parseWithSchema(settingsSchema, source)

/**
 * Parses the settings of a gateway, in JSONC.
 *
 * @param source - the text and its name
 * @returns the settings with defaults applied
 * @throws FindingsError with all findings
 */
export const parseGatewaySettings = (source: NamedText): GatewaySettings => parseWithSchema(gatewaySettingsSchema, source)

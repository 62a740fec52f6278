/** Parses the local settings of a process. */
import { FindingsError } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import { checkSchema } from '../document/checkSchema.js'
import type { NamedText } from '../document/documentTypes.js'
import { sortUniqueFindings, valueOrThrow } from '../document/findingLists.js'
import { readDocument } from '../document/readDocument.js'
import { type GatewaySettings, gatewaySettingsSchema } from './gatewaySchema.js'
import { type ProcessSettings, settingsSchema } from './settingsSchema.js'

const parseWithSchema = <T>(schema: z.ZodType<T>, source: NamedText): T => {
  const { root, findings } = readDocument(source)
  if (root === undefined) throw new FindingsError(findings)
  const checked = checkSchema(schema, root)
  const allFindings = sortUniqueFindings([...findings, ...checked.findings])
  return valueOrThrow(allFindings.length > 0 ? undefined : checked.value, allFindings)
}

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

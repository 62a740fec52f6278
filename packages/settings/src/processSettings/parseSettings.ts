/** Reads the local settings of a process. */
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
 * Reads settings in JSON with comments.
 *
 * @param source - the text and the name to report
 * @returns the settings with defaults filled in
 * @throws FindingsError with every finding
 */
export const parseSettings = (source: NamedText): ProcessSettings => parseWithSchema(settingsSchema, source)

/**
 * Reads the settings of a gateway in JSON with comments.
 *
 * @param source - the text and the name to report
 * @returns the settings with defaults filled in
 * @throws FindingsError with every finding
 */
export const parseGatewaySettings = (source: NamedText): GatewaySettings => parseWithSchema(gatewaySettingsSchema, source)

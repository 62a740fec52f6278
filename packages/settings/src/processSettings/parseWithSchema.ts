/** Parses a settings file by its schema. */
import { FindingsError } from '@fuchsiaworks/kernel'
import type * as z from 'zod'
import { checkSchema } from '../document/checkSchema.js'
import type { NamedText } from '../document/documentTypes.js'
import { sortUniqueFindings, valueOrThrow } from '../document/findingLists.js'
import { readDocument } from '../document/readDocument.js'

/**
 * Parses a text in JSONC.
 *
 * @param schema - schema of the settings
 * @param source - the text and its name
 * @returns the settings with defaults applied
 * @throws FindingsError with all findings
 */
export const parseWithSchema = <T>(schema: z.ZodType<T>, source: NamedText): T => {
  const { root, findings } = readDocument(source)
  if (root === undefined) throw new FindingsError(findings)
  const checked = checkSchema(schema, root)
  const allFindings = sortUniqueFindings([...findings, ...checked.findings])
  return valueOrThrow(allFindings.length > 0 ? undefined : checked.value, allFindings)
}

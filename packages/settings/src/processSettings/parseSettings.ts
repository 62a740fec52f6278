/** Reads the local settings of a process. */
import { FindingsError } from '@fuchsiaworks/kernel'
import { checkSchema } from '../document/checkSchema.js'
import type { NamedText } from '../document/documentTypes.js'
import { tidyFindings, valueOrThrow } from '../document/findingLists.js'
import { readDocument } from '../document/readDocument.js'
import { type ProcessSettings, settingsSchema } from './settingsSchema.js'

/**
 * Reads settings in JSON with comments.
 *
 * @param source - the text and the name to report
 * @returns the settings with defaults filled in
 * @throws FindingsError with every finding
 */
export const parseSettings = (source: NamedText): ProcessSettings => {
  const { root, findings } = readDocument(source)
  if (root === undefined) throw new FindingsError(findings)
  const checked = checkSchema(settingsSchema, root)
  const all = tidyFindings([...findings, ...checked.findings])
  return valueOrThrow(all.length > 0 ? undefined : checked.value, all)
}

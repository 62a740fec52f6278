/** `fuchsiactl show`: the effective configuration of a site with the place where each value was set. */
import { formatFinding } from '@fuchsiaworks/kernel'
import { checkSite, type FleetConfig, type Origins } from '@fuchsiaworks/settings'
import { type CommandIo, EXIT, type ExitCode, readTextFile } from '../io/commandIo.js'
import { formatTable } from '../io/table.js'

/** One value of the effective configuration. */
export interface EffectiveValue {
  readonly path: string
  readonly value: unknown
  /** `file:line:column`, or `default`. */
  readonly origin: string
}

const isPlainObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const flatten = (value: unknown, path: readonly string[]): Array<[string, unknown]> => {
  if (!isPlainObject(value) || Object.keys(value).length === 0) return [[path.join('.'), value]]
  return Object.entries(value).flatMap(([key, inner]) => flatten(inner, [...path, key]))
}

/**
 * Lists the values of a configuration with their origins.
 *
 * @param config - the effective configuration
 * @param origins - places where values were set
 */
export const listValues = (config: FleetConfig, origins: Origins): EffectiveValue[] =>
  flatten(config, []).map(([path, value]) => {
    const place = origins.get(path)
    return { path, value, origin: place === undefined ? 'default' : `${place.file}:${place.line}:${place.column}` }
  })

/**
 * Prints the effective configuration.
 *
 * @param io - output streams
 * @param base - path of the base file
 * @param overlay - path of the overlay, if any
 * @param json - true to print JSON instead of a table
 * @returns `EXIT.findings` if the configuration has an error
 */
export const showCommand = async (io: CommandIo, base: string, overlay: string | undefined, json: boolean): Promise<ExitCode> => {
  const { config, findings, origins } = checkSite(await readTextFile(base), overlay === undefined ? undefined : await readTextFile(overlay))
  for (const finding of findings) io.err(formatFinding(finding))
  if (config === undefined) return EXIT.findings
  const values = listValues(config, origins())
  if (json) io.out(JSON.stringify(values, null, 2))
  else formatTable(['PATH', 'VALUE', 'SET IN'], values.map(({ path, value, origin }) => [path, JSON.stringify(value), origin])).forEach(io.out)
  return EXIT.ok
}

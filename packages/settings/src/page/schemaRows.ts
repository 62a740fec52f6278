/** Converts a schema to the rows of a reference table. */
import * as z from 'zod'

/** Row of the reference table: one key of a document. */
export interface SchemaRow {
  readonly key: string
  readonly type: string
  /** Text of the Default column. */
  readonly fallback: string
  readonly meaning: string
}

/** The properties of a JSON schema that the page uses. */
interface SchemaNode {
  readonly type?: string
  readonly unit?: string
  readonly description?: string
  readonly default?: unknown
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly minimum?: number
  readonly maximum?: number
  readonly anyOf?: readonly SchemaNode[]
  readonly items?: SchemaNode
  readonly properties?: Readonly<Record<string, SchemaNode>>
  readonly additionalProperties?: SchemaNode | boolean
  readonly required?: readonly string[]
  /** Text of the Default column if the default depends on other keys. */
  readonly fallback?: string
}

/** Placeholders for the id in the path of a map's entry, by the name of the map. */
const ID_PLACEHOLDERS: Readonly<Record<string, string>> = {
  zones: 'ZONE',
  services: 'SERVICE',
  upstreams: 'UPSTREAM',
  workspaces: 'WORKSPACE',
  sites: 'SITE',
  byService: 'SERVICE'
}

const inlineCode = (value: unknown): string => `\`${JSON.stringify(value)}\``

const numberType = (node: SchemaNode): string => {
  const kind = node.type === 'integer' ? 'whole number' : 'number'
  const unit = node.unit === undefined ? '' : ` of ${node.unit}`
  const range = node.minimum === undefined ? '' : `, ${node.minimum} to ${node.maximum ?? 'any'}`
  return `${kind}${unit}${range}`
}

const typeOf = (node: SchemaNode): string => {
  if (node.const !== undefined) return inlineCode(node.const)
  if (node.enum !== undefined) return node.enum.map(inlineCode).join(' or ')
  if (node.anyOf !== undefined) return node.anyOf.map(typeOf).join(' or ')
  if (node.type === 'integer' || node.type === 'number') return numberType(node)
  if (node.type === 'array') return `list of ${node.items === undefined ? 'values' : typeOf(node.items)}`
  return node.type === 'string' ? 'text' : node.type ?? 'any'
}

/** Returns the text of the Default column: the default, or `textWithoutDefault`. */
const defaultTextOf = (node: SchemaNode, textWithoutDefault: string): string => {
  if (node.fallback !== undefined) return node.fallback
  return node.default === undefined ? textWithoutDefault : inlineCode(node.default)
}

const rowOf = (key: string, node: SchemaNode, textWithoutDefault: string): SchemaRow =>
  ({ key, type: typeOf(node), fallback: defaultTextOf(node, textWithoutDefault), meaning: node.description ?? '' })

/** Returns the rows of a map from ids to values; empty if the node is not a map. */
const rowsOfMap = (path: string, name: string, node: SchemaNode): SchemaRow[] => {
  if (typeof node.additionalProperties !== 'object') return []
  const entry = node.additionalProperties
  const entryPath = `${path}.${ID_PLACEHOLDERS[name] ?? 'ID'}`
  if (entry.properties !== undefined) return rowsOfObject(entry, entryPath, 'required')
  return [rowOf(entryPath, { ...entry, description: node.description ?? '' }, 'none')]
}

const rowsOfList = (path: string, node: SchemaNode, textWithoutDefault: string): SchemaRow[] => {
  if (node.items?.properties === undefined) return [rowOf(path, node, textWithoutDefault)]
  return [rowOf(path, { ...node, items: { type: 'objects' } }, textWithoutDefault), ...rowsOfObject(node.items, `${path}[]`, 'required')]
}

const rowsOfProperty = (path: string, name: string, node: SchemaNode, isRequired: boolean): SchemaRow[] => {
  // The required keys of an optional object are required only if the object is present.
  const requiredText = isRequired || node.default !== undefined ? 'required' : `required with \`${name}\``
  if (node.properties !== undefined) return rowsOfObject(node, path, requiredText)
  const entries = rowsOfMap(path, name, node)
  return entries.length > 0 ? entries : rowsOfList(path, node, isRequired ? 'required' : 'none')
}

const rowsOfObject = (node: SchemaNode, path: string, requiredText: string): SchemaRow[] =>
  Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const childPath = path === '' ? name : `${path}.${name}`
    const isRequired = node.required?.includes(name) === true
    if (!isRequired || requiredText === 'required') return rowsOfProperty(childPath, name, child, isRequired)
    return [rowOf(childPath, child, requiredText)]
  })

/**
 * Lists the keys that the schema allows.
 *
 * @param schema - schema of an object
 * @returns one row for each key, except keys that only group others
 */
export const schemaRows = (schema: z.ZodType): SchemaRow[] =>
  rowsOfObject(z.toJSONSchema(schema, { io: 'input' }) as SchemaNode, '', 'required')

/**
 * Formats rows as the lines of a Markdown table.
 *
 * @param rows - the rows
 */
export const markdownRows = (rows: readonly SchemaRow[]): string[] => [
  '| Key | Type | Default | Meaning |',
  '|---|---|---|---|',
  ...rows.map(({ key, type, fallback, meaning }) => `| \`${key}\` | ${type} | ${fallback} | ${meaning} |`)
]

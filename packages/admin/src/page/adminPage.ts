/** The reference page of the administration API, written from the registry of routes. */
import * as z from 'zod'
import { adminRoutes } from '../routes/adminRoutes.js'
import type { AnyRoute } from '../routes/routeTypes.js'

const INTRODUCTION = `# Administration API

Written by \`npm run docs\` from the registry in \`packages/admin\`. Change that, not this page.

Every router and agent serves JSON over HTTP on the address \`admin\` of its settings, on loopback unless they say otherwise. All
routes but the open ones want \`Authorization: Bearer KEY\` with \`admin.key\` of the settings. A process offers the routes that make
sense for its role; nothing that it is told here is shared with others or kept over a restart. Spans of time are milliseconds.

Errors are \`application/problem+json\` with \`title\`, \`status\` and \`detail\`: 400 \`bad-request\`, 401 \`unauthorized\`,
404 \`unknown-route\`, 405 \`wrong-method\`, 413 \`body-too-large\`, 500 \`internal\`. Without the key every other path answers 401.

\`fuchsiactl status\`, \`load\` and \`timeline\` put the same questions to many processes at once.`

/** The parts of a JSON schema that the page uses. */
interface SchemaNode {
  readonly type?: string
  readonly description?: string
  readonly enum?: readonly unknown[]
  readonly items?: SchemaNode
  readonly properties?: Readonly<Record<string, SchemaNode>>
  readonly required?: readonly string[]
}

const typeOf = (node: SchemaNode): string => {
  if (node.enum !== undefined) return node.enum.map(value => `\`${String(value)}\``).join(' or ')
  if (node.type === 'array') return `list of ${node.items === undefined ? 'values' : typeOf(node.items)}`
  if (node.type === 'integer') return 'whole number'
  return node.type === 'string' ? 'text' : node.type ?? 'any'
}

const linesOf = (node: SchemaNode, depth: number): string[] =>
  Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const optional = node.required?.includes(name) === true ? '' : ', optional'
    const meaning = child.description === undefined ? '' : `. ${child.description}`
    const inner = child.type === 'array' ? child.items ?? {} : child
    return [`${'  '.repeat(depth)}- \`${name}\`: ${typeOf(child)}${optional}${meaning}`, ...linesOf(inner, depth + 1)]
  })

const part = (title: string, schema: z.ZodType, io: 'input' | 'output'): string[] => {
  const lines = linesOf(z.toJSONSchema(schema, { io }) as SchemaNode, 0)
  return lines.length === 0 ? [] : ['', `${title}:`, '', ...lines]
}

const section = (route: AnyRoute): string[] => [
  '',
  `## ${route.method} ${route.path}`,
  '',
  `${route.describe}${route.access === 'open' ? ' Open: needs no key.' : ''}`,
  ...part('Query', route.query, 'input'),
  ...part('Body', route.body, 'input'),
  ...part('Answer', route.responseSchema, 'output')
]

/**
 * Writes the page.
 *
 * @returns the text of docs/ADMIN.md
 */
export const adminPage = (): string =>
  [INTRODUCTION, ...Object.values(adminRoutes).flatMap(route => section(route)), ''].join('\n')
